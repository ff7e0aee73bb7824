#include "support/json_http.hpp"

#include "egretspindle/net/http_client.hpp"

#include <stdexcept>

namespace egretspindle::test
{

absl::StatusOr<http_response> send_http(const std::string& address,
                                        const std::string& method,
                                        const std::string& path,
                                        const std::string& body,
                                        std::chrono::milliseconds timeout)
{
    const absl::StatusOr<endpoint> server = parse_endpoint(address);
    if (!server.ok())
    {
        return server.status();
    }
    http_client client(*server);
    http_call call;
    call.method = method;
    call.path = path;
    call.body = body;
    call.timeout = timeout;
    call.connection = connection_use::fresh;
    return client.send(call);
}

std::string post_control(const std::string& address, const std::string& body)
{
    const absl::StatusOr<http_response> response =
        send_http(address, "POST", "/control", body);
    if (!response.ok() || response->status != 200)
    {
        throw std::runtime_error(
            "control failed: " + body + ": " +
            (response.ok() ? response->body : response.status().ToString()));
    }
    return response->body;
}

} // namespace egretspindle::test
