#include "job_query.hpp"

#include "http_channel.hpp"

namespace egretspindle::bench
{

namespace
{

constexpr std::chrono::milliseconds call_timeout{3'000};

} // namespace

std::string state_in(const std::string& body)
{
    const std::string key = R"("state":")";
    const std::size_t at = body.find(key);
    return at == std::string::npos
               ? ""
               : body.substr(at + key.size(),
                             body.find('"', at + key.size()) - at - key.size());
}

job_call call_host(const host_endpoint& host, const soak_job& job,
                   const std::string& method)
{
    http_channel channel(host.address);
    const channel_reply reply = channel.send(
        {method, "/jobs/" + job.id, method == "POST" ? submission_of(job) : ""},
        call_timeout);
    return {method,        host.host,        reply.status, state_in(reply.body),
            reply.sent_ms, reply.answered_ms};
}

} // namespace egretspindle::bench
