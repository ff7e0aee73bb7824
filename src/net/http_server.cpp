#include "egretspindle/net/http_server.hpp"

#include "egretspindle/codec/json.hpp"
#include "egretspindle/core/error.hpp"
#include "egretspindle/logging/log.hpp"
#include "egretspindle/net/error_reply.hpp"

#include <cxxtools/eventloop.h>
#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>
#include <cxxtools/http/responder.h>
#include <cxxtools/http/server.h>
#include <cxxtools/http/service.h>
#include <cxxtools/net/tcpsocket.h>
#include <cxxtools/query_params.h>
#include <cxxtools/regex.h>
#include <fmt/format.h>

#include <algorithm>
#include <cctype>
#include <condition_variable>
#include <cstdlib>
#include <istream>
#include <iterator>
#include <mutex>
#include <ostream>
#include <thread>
#include <vector>

namespace egretspindle
{

namespace
{

std::string header_of(const cxxtools::http::Request& request, const char* name)
{
    const char* value = request.getHeader(name);
    return value == nullptr ? std::string() : std::string(value);
}

std::map<std::string, std::string>
headers_of(const cxxtools::http::Request& request)
{
    std::map<std::string, std::string> headers;
    for (const auto& [field, value] : request.header())
    {
        std::string name = field;
        std::transform(name.begin(), name.end(), name.begin(),
                       [](unsigned char c)
                       { return static_cast<char>(std::tolower(c)); });
        headers[std::move(name)] = value;
    }
    return headers;
}

http_response error_response(int status, std::string_view kind,
                             std::string_view message)
{
    http_response response;
    response.status = status;
    response.body =
        to_json(error_reply{{std::string(kind), std::string(message)}});
    return response;
}

} // namespace

/// Counts the requests in progress, so that a shutdown can wait for them.
class in_progress_counter
{
public:
    void request_begun()
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        ++count_;
    }

    void request_ended()
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (--count_ == 0)
        {
            idle_.notify_all();
        }
    }

    bool wait_idle(std::chrono::milliseconds timeout)
    {
        std::unique_lock<std::mutex> lock(mutex_);
        return idle_.wait_for(lock, timeout, [this] { return count_ == 0; });
    }

    int count() const
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        return count_;
    }

private:
    mutable std::mutex mutex_;
    std::condition_variable idle_;
    int count_ = 0;
};

namespace
{

/// Counts a request while it exists, also if sending the reply throws.
class request_in_progress
{
public:
    explicit request_in_progress(in_progress_counter& counter)
        : counter_(counter)
    {
        counter_.request_begun();
    }

    ~request_in_progress()
    {
        counter_.request_ended();
    }

    request_in_progress(const request_in_progress&) = delete;
    request_in_progress& operator=(const request_in_progress&) = delete;

private:
    in_progress_counter& counter_;
};

class handler_service;

class handler_responder : public cxxtools::http::Responder
{
public:
    explicit handler_responder(handler_service& service);

    void beginRequest(cxxtools::net::TcpSocket& socket, std::istream& in,
                      cxxtools::http::Request& request) override;
    std::size_t readBody(std::istream& in) override;
    void reply(std::ostream& out, cxxtools::http::Request& request,
               cxxtools::http::Reply& reply) override;
    void replyError(std::ostream& out, cxxtools::http::Request& request,
                    cxxtools::http::Reply& reply,
                    const std::exception& ex) override;

private:
    static void send(std::ostream& out, cxxtools::http::Reply& reply,
                     const http_response& response);

    handler_service& service_;
    std::string body_;
    bool is_oversized_ = false;
};

class handler_service : public cxxtools::http::Service
{
public:
    handler_service(const http_limits& limits, http_handler handler,
                    in_progress_counter& counter)
        : limits_(limits), handler_(std::move(handler)), counter_(counter)
    {
    }

    [[nodiscard]] const http_limits& limits() const
    {
        return limits_;
    }

    [[nodiscard]] http_response handle(const http_request& request) const
    {
        return handler_(request);
    }

    in_progress_counter& counter()
    {
        return counter_;
    }

protected:
    cxxtools::http::Responder*
    createResponder(const cxxtools::http::Request& /*request*/) override
    {
        return new handler_responder(*this);
    }

    void releaseResponder(cxxtools::http::Responder* responder) override
    {
        delete responder;
    }

private:
    http_limits limits_;
    http_handler handler_;
    in_progress_counter& counter_;
};

handler_responder::handler_responder(handler_service& service)
    : cxxtools::http::Responder(service), service_(service)
{
}

void handler_responder::beginRequest(cxxtools::net::TcpSocket& /*socket*/,
                                     std::istream& /*in*/,
                                     cxxtools::http::Request& request)
{
    body_.clear();
    is_oversized_ = false;
    const std::string length = header_of(request, "Content-Length");
    if (!length.empty() && std::strtoull(length.c_str(), nullptr, 10) >
                               service_.limits().max_body_bytes)
    {
        is_oversized_ = true;
    }
}

std::size_t handler_responder::readBody(std::istream& in)
{
    std::size_t count = 0;
    char buf[8192];
    while (in.rdbuf()->in_avail() > 0)
    {
        const std::streamsize n = in.readsome(buf, sizeof buf);
        if (n <= 0)
        {
            break;
        }
        count += static_cast<std::size_t>(n);
        if (!is_oversized_ &&
            body_.size() + count <= service_.limits().max_body_bytes + count)
        {
            body_.append(buf, static_cast<std::size_t>(n));
        }
        if (body_.size() > service_.limits().max_body_bytes)
        {
            is_oversized_ = true;
            body_.clear();
        }
    }
    return count;
}

void handler_responder::reply(std::ostream& out,
                              cxxtools::http::Request& request,
                              cxxtools::http::Reply& reply)
{
    const request_in_progress in_progress(service_.counter());
    http_response response;
    if (is_oversized_)
    {
        response = error_response(
            413, "too_large",
            fmt::format("the body exceeds {} bytes; send a smaller one",
                        service_.limits().max_body_bytes));
    }
    else
    {
        http_request converted;
        converted.method = request.method();
        converted.path = request.url();
        const cxxtools::QueryParams params(request.qparams());
        std::vector<std::string> names;
        params.getNames(std::back_inserter(names));
        for (const std::string& name : names)
        {
            converted.query[name] = params.param(name);
        }
        converted.content_type = header_of(request, "Content-Type");
        converted.authorization = header_of(request, "Authorization");
        converted.headers = headers_of(request);
        converted.body = std::move(body_);
        try
        {
            response = service_.handle(converted);
        }
        catch (const std::exception& ex)
        {
            log_error("request failed", {{"method", converted.method},
                                         {"path", converted.path},
                                         {"error", ex.what()}});
            response = error_response(500, "internal",
                                      "the request failed; report the log "
                                      "line with this time");
        }
    }
    send(out, reply, response);
}

void handler_responder::replyError(std::ostream& out,
                                   cxxtools::http::Request& /*request*/,
                                   cxxtools::http::Reply& reply,
                                   const std::exception& /*ex*/)
{
    send(out, reply,
         error_response(400, "invalid_argument",
                        "malformed HTTP request; correct it"));
}

void handler_responder::send(std::ostream& out, cxxtools::http::Reply& reply,
                             const http_response& response)
{
    reply.httpReturn(static_cast<unsigned>(response.status),
                     response.status < 400 ? "OK" : "Error");
    reply.setHeader("Content-Type", response.content_type.c_str());
    for (const auto& [name, value] : response.headers)
    {
        reply.addHeader(name.c_str(), value.c_str());
    }
    out << response.body;
}

} // namespace

struct http_server::impl
{
    impl(const http_limits& server_limits, http_handler handler)
        : limits(server_limits),
          service(server_limits, std::move(handler), counter)
    {
    }

    http_limits limits;
    in_progress_counter counter;
    handler_service service;
    cxxtools::EventLoop loop;
    std::unique_ptr<cxxtools::http::Server> server;
    std::thread thread;
};

http_server::http_server(const http_limits& limits, http_handler handler)
    : impl_(std::make_unique<impl>(limits, std::move(handler)))
{
}

http_server::~http_server()
{
    stop();
}

absl::Status http_server::start(const std::string& address, unsigned short port)
{
    try
    {
        impl_->server = std::make_unique<cxxtools::http::Server>(impl_->loop,
                                                                 address, port);
    }
    catch (const std::exception& ex)
    {
        return make_error(error_kind::unavailable,
                          fmt::format("cannot listen on {}:{} ({}); choose a "
                                      "free address",
                                      address, port, ex.what()));
    }
    cxxtools::http::Server& server = *impl_->server;
    server.minThreads(impl_->limits.min_threads);
    server.maxThreads(impl_->limits.max_threads);
    server.readTimeout(cxxtools::Milliseconds(impl_->limits.read_timeout_ms));
    server.keepAliveTimeout(
        cxxtools::Milliseconds(impl_->limits.keep_alive_timeout_ms));
    server.addService(cxxtools::Regex("^/"), impl_->service);
    impl_->thread = std::thread([this] { impl_->loop.run(); });
    return absl::OkStatus();
}

bool http_server::wait_idle(std::chrono::milliseconds timeout)
{
    return impl_->counter.wait_idle(timeout);
}

void http_server::stop()
{
    if (impl_->thread.joinable())
    {
        impl_->loop.exit();
        impl_->thread.join();
    }
    impl_->server.reset();
}

int http_server::in_progress() const
{
    return impl_->counter.count();
}

} // namespace egretspindle
