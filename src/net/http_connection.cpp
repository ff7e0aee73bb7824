#include "http_connection.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/status.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cxxtools/query_params.h>
#include <fmt/format.h>

#include <algorithm>
#include <cctype>
#include <cerrno>
#include <iterator>
#include <poll.h>
#include <sys/socket.h>
#include <vector>

namespace egretspindle
{

namespace
{

namespace beast = boost::beast;

using request_parser = beast::http::request_parser<beast::http::string_body>;

constexpr std::size_t chunk_bytes = 16 * 1024;
// Time in which requests that are on their way when the server stops are still
// read.
constexpr std::chrono::milliseconds stop_time{100};
// Time for the caller to read the last response and to close the connection.
constexpr std::chrono::milliseconds linger_time{100};

int poll_timeout(std::chrono::steady_clock::time_point deadline)
{
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
        deadline - std::chrono::steady_clock::now());
    return static_cast<int>(std::max<std::int64_t>(0, left.count() + 1));
}

bool is_would_block(int error)
{
    return error == EAGAIN || error == EWOULDBLOCK;
}

int hex_digit(char c)
{
    if (c >= '0' && c <= '9')
    {
        return c - '0';
    }
    const char lower = static_cast<char>(c | 0x20);
    return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

std::string decode_path(std::string_view text)
{
    std::string path;
    path.reserve(text.size());
    for (std::size_t n = 0; n < text.size(); ++n)
    {
        const bool is_escape = text[n] == '%' && n + 2 < text.size() &&
                               hex_digit(text[n + 1]) >= 0 &&
                               hex_digit(text[n + 2]) >= 0;
        if (is_escape)
        {
            path += static_cast<char>(hex_digit(text[n + 1]) * 16 +
                                      hex_digit(text[n + 2]));
            n += 2;
        }
        else
        {
            path += text[n];
        }
    }
    return path;
}

std::string to_string(beast::string_view text)
{
    return {text.data(), text.size()};
}

http_request to_http_request(request_parser& parser)
{
    beast::http::request<beast::http::string_body>& message = parser.get();
    http_request request;
    request.method = to_string(message.method_string());
    const std::string target = to_string(message.target());
    const std::size_t query_at = target.find('?');
    request.path = decode_path(std::string_view(target).substr(0, query_at));
    if (query_at != std::string::npos)
    {
        const cxxtools::QueryParams params(target.substr(query_at + 1));
        std::vector<std::string> names;
        params.getNames(std::back_inserter(names));
        for (const std::string& name : names)
        {
            request.query[name] = params.param(name);
        }
    }
    for (const auto& field : message)
    {
        std::string name = to_string(field.name_string());
        std::transform(name.begin(), name.end(), name.begin(),
                       [](unsigned char c)
                       { return static_cast<char>(std::tolower(c)); });
        request.headers[std::move(name)] = to_string(field.value());
    }
    request.content_type = to_string(message[beast::http::field::content_type]);
    request.authorization =
        to_string(message[beast::http::field::authorization]);
    request.body = std::move(message.body());
    return request;
}

read_result to_result(const beast::error_code& ec)
{
    if (ec == beast::http::error::header_limit)
    {
        return read_result::header_too_large;
    }
    return ec == beast::http::error::body_limit ? read_result::body_too_large
                                                : read_result::malformed;
}

} // namespace

http_connection::http_connection(int fd, int stop_fd, const http_limits& limits)
    : fd_(fd), stop_fd_(stop_fd), limits_(limits)
{
}

read_result http_connection::read(http_request& request)
{
    request_parser parser;
    parser.eager(true);
    parser.header_limit(static_cast<std::uint32_t>(limits_.max_header_bytes));
    parser.body_limit(limits_.max_body_bytes);
    clock::time_point deadline =
        clock::now() +
        std::chrono::milliseconds(buf_.empty() ? limits_.keep_alive_timeout_ms
                                               : limits_.read_timeout_ms);
    bool is_continue_sent = false;
    bool has_begun = !buf_.empty();
    for (;;)
    {
        // Some clients send an empty line after a body.
        while (!parser.got_some() && buf_.compare(0, 2, "\r\n") == 0)
        {
            buf_.erase(0, 2);
        }
        if (!buf_.empty())
        {
            beast::error_code ec;
            const std::size_t n = parser.put(boost::asio::buffer(buf_), ec);
            buf_.erase(0, n);
            if (ec && ec != beast::http::error::need_more)
            {
                return to_result(ec);
            }
            if (parser.is_done())
            {
                is_head_ = parser.get().method() == beast::http::verb::head;
                is_version_10_ = parser.get().version() < 11;
                keeps_alive_ = parser.keep_alive();
                request = to_http_request(parser);
                return read_result::request;
            }
            // The parser has no limit on chunk extensions and trailers, which
            // it leaves in the buffer until they are complete.
            if (buf_.size() > limits_.max_header_bytes)
            {
                return read_result::header_too_large;
            }
            if (parser.is_header_done() && !is_continue_sent &&
                beast::iequals(parser.get()[beast::http::field::expect],
                               "100-continue"))
            {
                is_continue_sent = true;
                (void)send_all("HTTP/1.1 100 Continue\r\n\r\n");
            }
        }
        if (!receive(deadline))
        {
            return read_result::closed;
        }
        if (!has_begun)
        {
            has_begun = true;
            deadline = clock::now() +
                       std::chrono::milliseconds(limits_.read_timeout_ms);
        }
    }
}

// Notes when the server stops, and returns whether it does.
bool http_connection::is_stopping()
{
    pollfd item{stop_fd_, POLLIN, 0};
    if (!stop_deadline_ && ::poll(&item, 1, 0) > 0)
    {
        stop_deadline_ = clock::now() + stop_time;
    }
    return stop_deadline_.has_value();
}

// Waits for bytes and appends them to the buffer.
bool http_connection::receive(clock::time_point deadline)
{
    while (!is_ended_)
    {
        const clock::time_point end =
            std::min(deadline, stop_deadline_.value_or(deadline));
        pollfd items[] = {{fd_, POLLIN, 0}, {stop_fd_, POLLIN, 0}};
        const int n = ::poll(items, stop_deadline_ ? 1 : 2, poll_timeout(end));
        if (n < 0 && errno == EINTR)
        {
            continue;
        }
        if (n <= 0)
        {
            is_ended_ = true;
            return false;
        }
        if (items[0].revents != 0 && receive_available())
        {
            return true;
        }
        (void)is_stopping();
    }
    return false;
}

// Appends the bytes that have arrived to the buffer, if any.
bool http_connection::receive_available()
{
    // A caller that goes on sending must not delay the stop.
    is_ended_ =
        is_ended_ || (stop_deadline_ && clock::now() >= *stop_deadline_);
    if (is_ended_)
    {
        return false;
    }
    char chunk[chunk_bytes];
    ssize_t n = 0;
    do
    {
        n = ::recv(fd_, chunk, sizeof chunk, MSG_DONTWAIT);
    } while (n < 0 && errno == EINTR);
    if (n > 0)
    {
        buf_.append(chunk, static_cast<std::size_t>(n));
        return true;
    }
    is_ended_ = n == 0 || !is_would_block(errno);
    return false;
}

bool http_connection::has_next()
{
    (void)is_stopping();
    return !buf_.empty() || receive_available();
}

bool http_connection::write(const http_response& response, bool is_last)
{
    const beast::string_view reason = beast::http::obsolete_reason(
        beast::http::int_to_status(static_cast<unsigned>(response.status)));
    std::string text = fmt::format("HTTP/1.1 {} {}\r\nContent-Type: {}\r\n"
                                   "Content-Length: {}\r\n",
                                   response.status, to_string(reason),
                                   response.content_type, response.body.size());
    if (is_last)
    {
        text += "Connection: close\r\n";
    }
    else if (is_version_10_)
    {
        text += "Connection: keep-alive\r\n";
    }
    for (const auto& [name, value] : response.headers)
    {
        text += fmt::format("{}: {}\r\n", name, value);
    }
    text += "\r\n";
    if (!is_head_)
    {
        text += response.body;
    }
    return send_all(text);
}

bool http_connection::send_all(std::string_view text)
{
    const clock::time_point deadline =
        clock::now() + std::chrono::milliseconds(limits_.read_timeout_ms);
    while (!text.empty())
    {
        const ssize_t n =
            ::send(fd_, text.data(), text.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        if (n > 0)
        {
            text.remove_prefix(static_cast<std::size_t>(n));
            continue;
        }
        if (n < 0 && errno == EINTR)
        {
            continue;
        }
        pollfd item{fd_, POLLOUT, 0};
        if (n == 0 || !is_would_block(errno) ||
            ::poll(&item, 1, poll_timeout(deadline)) == 0)
        {
            return false;
        }
    }
    return true;
}

void http_connection::finish()
{
    ::shutdown(fd_, SHUT_WR);
    const clock::time_point deadline = clock::now() + linger_time;
    is_ended_ = false;
    stop_deadline_.reset();
    while (!is_ended_ && clock::now() < deadline)
    {
        pollfd item{fd_, POLLIN, 0};
        if (::poll(&item, 1, poll_timeout(deadline)) > 0)
        {
            buf_.clear();
            (void)receive_available();
        }
    }
}

} // namespace egretspindle
