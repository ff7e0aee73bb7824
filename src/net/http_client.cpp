#include "egretspindle/net/http_client.hpp"

#include "egretspindle/core/error.hpp"

#include "connection_pool.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <stdexcept>

namespace egretspindle
{

namespace
{

namespace beast = boost::beast;

using response_parser = beast::http::response_parser<beast::http::string_body>;

// Above the longest responses: pages of rows of 1 MB, encoded as base64.
constexpr std::uint64_t max_body_bytes = 16 * 1024 * 1024;

// Returns whether a text can be a part of a line of the request.
bool is_line_part(std::string_view text)
{
    return std::none_of(text.begin(), text.end(),
                        [](char c) { return c == '\r' || c == '\n'; });
}

bool is_valid(const http_call& call)
{
    return is_line_part(call.method) && is_line_part(call.path) &&
           is_line_part(call.content_type) &&
           is_line_part(call.authorization) &&
           std::all_of(call.headers.begin(), call.headers.end(),
                       [](const auto& item) {
                           return is_line_part(item.first) &&
                                  is_line_part(item.second);
                       });
}

std::string to_text(const http_call& call, const endpoint& server)
{
    std::string text = fmt::format(
        "{} {} HTTP/1.1\r\nHost: {}\r\nContent-Length: {}\r\n"
        "Connection: {}\r\n",
        call.method, call.path, to_string(server), call.body.size(),
        call.connection == connection_use::fresh ? "close" : "keep-alive");
    const auto add = [&text](std::string_view name, std::string_view value)
    {
        text += fmt::format("{}: {}\r\n", name, value);
    };
    if (!call.body.empty())
    {
        add("Content-Type", call.content_type);
    }
    if (!call.authorization.empty())
    {
        add("Authorization", call.authorization);
    }
    for (const auto& [name, value] : call.headers)
    {
        add(name, value);
    }
    return text + "\r\n" + call.body;
}

// Reads one response. Throws after the deadline, if the connection breaks, and
// for a malformed response.
void read_response(cxxtools::net::TcpSocket& socket, response_parser& parser,
                   deadline_clock::time_point deadline)
{
    std::string buf;
    while (!parser.is_done())
    {
        beast::error_code ec;
        if (read_some(socket, buf, deadline))
        {
            const std::size_t n = parser.put(boost::asio::buffer(buf), ec);
            buf.erase(0, n);
        }
        else if (parser.got_some())
        {
            parser.put_eof(ec);
        }
        else
        {
            throw std::runtime_error("connection closed");
        }
        if (ec && ec != beast::http::error::need_more)
        {
            throw std::runtime_error(ec.message());
        }
    }
}

http_response
to_http_response(beast::http::response<beast::http::string_body>&& message)
{
    http_response response;
    response.status = static_cast<int>(message.result_int());
    response.content_type =
        std::string(message[beast::http::field::content_type]);
    response.body = std::move(message.body());
    return response;
}

} // namespace

struct http_client::impl
{
    explicit impl(endpoint address)
        : server(std::move(address)), name(to_string(server))
    {
    }

    endpoint server;
    std::string name; ///< of the server
    connection_pool connections;
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

// The HTTP client of cxxtools is not used, because it resends a request whose
// response is late.
absl::StatusOr<http_response> http_client::send(const http_call& call)
{
    if (!is_valid(call))
    {
        return make_error(error_kind::invalid_argument,
                          fmt::format("{}: a header of the request contains a "
                                      "line break; nothing was sent",
                                      impl_->name));
    }
    const deadline_clock::time_point deadline =
        deadline_clock::now() + call.timeout;
    const bool is_fresh = call.connection == connection_use::fresh;
    socket_ptr socket =
        is_fresh ? nullptr : impl_->connections.take(impl_->name);
    const bool is_reused = socket != nullptr;
    try
    {
        if (!is_reused)
        {
            socket = open_connection(impl_->server, call.timeout);
        }
    }
    catch (const std::exception& ex)
    {
        return make_error(
            error_kind::unavailable,
            fmt::format("{}: {}; nothing was sent", impl_->name, ex.what()));
    }
    std::string failure;
    try
    {
        write_all(*socket, to_text(call, impl_->server), deadline);
        response_parser parser;
        parser.eager(true);
        parser.body_limit(max_body_bytes);
        read_response(*socket, parser, deadline);
        if (!is_fresh && parser.keep_alive())
        {
            impl_->connections.give_back(impl_->name, std::move(socket));
        }
        return to_http_response(parser.release());
    }
    catch (const std::exception& ex)
    {
        failure = ex.what();
    }
    if (is_reused)
    {
        // The other idle connections may have been lost in the same way.
        impl_->connections.close_idle(impl_->name);
    }
    return make_error(error_kind::deadline_exceeded,
                      fmt::format("{}: no answer ({}); the request may "
                                  "have taken effect",
                                  impl_->name, failure));
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
