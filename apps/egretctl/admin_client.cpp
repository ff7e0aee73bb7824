#include "admin_client.hpp"

#include "egretspindle/core/error.hpp"
#include "egretspindle/net/error_reply.hpp"
#include "egretspindle/net/http_client.hpp"

#include <fmt/format.h>

#include <fstream>

namespace egretspindle::ctl
{

namespace
{

// Longer than an entry host tries to find out the result of a transaction.
constexpr std::chrono::milliseconds call_timeout{20'000};

absl::Status error_from_response(const http_response& response)
{
    const absl::StatusOr<error_reply> reply =
        from_json<error_reply>(response.body);
    if (!reply.ok() || reply->error.kind.empty())
    {
        return make_error(error_kind::internal,
                          fmt::format("status {} without an error; check that "
                                      "--server is an operators' address",
                                      response.status));
    }
    return make_error(error_kind_from(reply->error.kind), reply->error.message);
}

bool should_try_next_server(const absl::Status& status)
{
    const error_kind kind = kind_of(status);
    return kind == error_kind::unavailable ||
           kind == error_kind::deadline_exceeded ||
           kind == error_kind::overloaded;
}

} // namespace

absl::StatusOr<admin_client>
admin_client::create(const std::vector<std::string>& servers,
                     const std::string& token_file)
{
    admin_client client;
    for (const std::string& text : servers)
    {
        const absl::StatusOr<endpoint> server = parse_endpoint(text);
        if (!server.ok())
        {
            return server.status();
        }
        client.servers_.push_back(*server);
    }
    if (client.servers_.empty())
    {
        return make_error(error_kind::invalid_argument,
                          "no server; name one with --server IP:PORT");
    }
    std::ifstream in(token_file);
    if (token_file.empty() || !std::getline(in, client.token_) ||
        client.token_.empty())
    {
        return make_error(error_kind::invalid_argument,
                          "no token; name a file that holds it with "
                          "--token-file FILE");
    }
    return client;
}

absl::StatusOr<std::string> admin_client::get(const std::string& path)
{
    return send("GET", path, "");
}

absl::StatusOr<std::string> admin_client::post(const std::string& path,
                                               const std::string& body)
{
    return send("POST", path, body);
}

const std::string& admin_client::error_body() const noexcept
{
    return error_body_;
}

absl::StatusOr<std::string> admin_client::send(const std::string& method,
                                               const std::string& path,
                                               const std::string& body)
{
    absl::Status unknown_result;
    absl::Status last_error;
    for (const endpoint& server : servers_)
    {
        absl::StatusOr<std::string> reply = send_to(server, method, path, body);
        if (reply.ok() || !should_try_next_server(reply.status()))
        {
            return reply;
        }
        last_error = reply.status();
        if (kind_of(last_error) == error_kind::deadline_exceeded)
        {
            unknown_result = last_error;
        }
    }
    // A change whose reply was lost may have been made, even when all other
    // servers report an error.
    return unknown_result.ok() ? last_error : unknown_result;
}

absl::StatusOr<std::string> admin_client::send_to(const endpoint& server,
                                                  const std::string& method,
                                                  const std::string& path,
                                                  const std::string& body)
{
    http_client client(server);
    http_call call;
    call.method = method;
    call.path = "/admin/v1/" + path;
    call.body = body;
    call.authorization = "Bearer " + token_;
    call.timeout = call_timeout;
    call.connection = connection_use::fresh;
    const absl::StatusOr<http_response> response = client.send(call);
    if (!response.ok())
    {
        return response.status();
    }
    if (response->status != 200)
    {
        error_body_ = response->body;
        return error_from_response(*response);
    }
    return response->body;
}

} // namespace egretspindle::ctl
