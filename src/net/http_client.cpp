#include "egretspindle/net/http_client.hpp"

#include "egretspindle/core/error.hpp"

#include <cxxtools/http/client.h>
#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>
#include <cxxtools/net/net.h>
#include <fmt/format.h>

#include <mutex>
#include <vector>

namespace egretspindle
{

namespace
{

constexpr std::size_t max_idle_connections = 64;

using client_ptr = std::unique_ptr<cxxtools::http::Client>;

// cxxtools has no separate exception type for a failed connect, so the message
// of the exception is checked.
bool is_connect_failure(std::string_view message)
{
    return message.find("while trying to connect") != std::string_view::npos;
}

http_response to_http_response(const cxxtools::http::Reply& reply)
{
    http_response response;
    response.status = static_cast<int>(reply.httpReturnCode());
    response.body = reply.body();
    const char* type = reply.getHeader("Content-Type");
    response.content_type = type == nullptr ? "" : type;
    return response;
}

} // namespace

struct http_client::impl
{
    explicit impl(endpoint address) : server(std::move(address)) {}

    client_ptr take_idle()
    {
        const std::lock_guard<std::mutex> lock(mutex);
        if (idle_clients.empty())
        {
            return nullptr;
        }
        client_ptr client = std::move(idle_clients.back());
        idle_clients.pop_back();
        return client;
    }

    void return_idle(client_ptr client)
    {
        const std::lock_guard<std::mutex> lock(mutex);
        if (idle_clients.size() < max_idle_connections)
        {
            idle_clients.push_back(std::move(client));
        }
    }

    endpoint server;
    std::mutex mutex;
    std::vector<client_ptr> idle_clients;
};

http_client::http_client(endpoint server)
    : impl_(std::make_unique<impl>(std::move(server)))
{
}

http_client::~http_client() = default;

const endpoint& http_client::server() const noexcept
{
    return impl_->server;
}

absl::StatusOr<http_response> http_client::send(const http_call& call)
{
    const bool is_fresh = call.connection == connection_use::fresh;
    client_ptr client = is_fresh ? nullptr : impl_->take_idle();
    const cxxtools::Milliseconds timeout(
        static_cast<double>(call.timeout.count()));
    const bool is_new = !client;
    if (is_new)
    {
        // The client connects when it sends. After an explicit connect it would
        // treat the connection as kept alive and might resend the request.
        client = std::make_unique<cxxtools::http::Client>(impl_->server.address,
                                                          impl_->server.port);
    }
    try
    {
        cxxtools::http::Request request(call.path);
        request.method(call.method);
        if (!call.body.empty())
        {
            request.setHeader("Content-Type", call.content_type.c_str());
            request.body() << call.body;
        }
        if (!call.authorization.empty())
        {
            request.setHeader("Authorization", call.authorization.c_str());
        }
        for (const auto& [name, value] : call.headers)
        {
            request.setHeader(name.c_str(), value.c_str());
        }
        if (is_fresh)
        {
            request.setHeader("Connection", "close");
        }
        client->execute(request, timeout, timeout);
        const http_response response = to_http_response(client->readBody());
        if (!is_fresh)
        {
            impl_->return_idle(std::move(client));
        }
        return response;
    }
    catch (const std::exception& ex)
    {
        if (is_new && is_connect_failure(ex.what()))
        {
            return make_error(error_kind::unavailable,
                              fmt::format("{}: {}; nothing was sent",
                                          to_string(impl_->server), ex.what()));
        }
        return make_error(error_kind::deadline_exceeded,
                          fmt::format("{}: no answer ({}); the request may "
                                      "have taken effect",
                                      to_string(impl_->server), ex.what()));
    }
}

std::string encode_query(std::string_view value)
{
    std::string text;
    for (const char c : value)
    {
        const bool is_plain = (c >= 'a' && c <= 'z') ||
                              (c >= 'A' && c <= 'Z') ||
                              (c >= '0' && c <= '9') || c == '-' || c == '_' ||
                              c == '.' || c == '~';
        if (is_plain)
        {
            text += c;
        }
        else
        {
            text += fmt::format("%{:02X}", static_cast<unsigned char>(c));
        }
    }
    return text;
}

} // namespace egretspindle
