#include "egretspindle/net/http_server.hpp"

#include "egretspindle/codec/json.hpp"
#include "egretspindle/core/error.hpp"
#include "egretspindle/logging/log.hpp"
#include "egretspindle/logging/log_rate_limit.hpp"
#include "egretspindle/net/error_reply.hpp"

#include "http_connection.hpp"
#include "listener.hpp"

#include <fmt/format.h>

#include <atomic>
#include <condition_variable>
#include <fcntl.h>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <sys/socket.h>
#include <system_error>
#include <thread>
#include <unistd.h>

namespace egretspindle
{

namespace
{

// Delay after a failed accept, which fails at once again while the process has
// no free descriptors.
constexpr std::chrono::milliseconds accept_retry{20};
// Callers determine the number and the texts of these lines.
constexpr std::chrono::milliseconds unanswered_log_period{200};
constexpr std::size_t max_logged_length = 120;

http_response error_response(int status, std::string_view kind,
                             std::string_view message)
{
    http_response response;
    response.status = status;
    response.body =
        to_json(error_reply{{std::string(kind), std::string(message)}});
    return response;
}

void log_unanswered(const http_request& request, const http_response& response)
{
    static log_rate_limit rate_limit(unanswered_log_period);
    const std::optional<std::int64_t> suppressed = rate_limit.try_acquire();
    if (suppressed)
    {
        log_info("response could not be sent",
                 {{"method", request.method.substr(0, max_logged_length)},
                  {"path", request.path.substr(0, max_logged_length)},
                  {"status", response.status},
                  {"left_out", *suppressed}});
    }
}

/// Becomes readable, for all who poll it, when the server stops.
class stop_pipe
{
public:
    stop_pipe()
    {
        if (::pipe2(fds_, O_CLOEXEC) != 0)
        {
            throw std::system_error(errno, std::generic_category(), "pipe");
        }
    }

    ~stop_pipe()
    {
        trigger();
        ::close(fds_[0]);
    }

    stop_pipe(const stop_pipe&) = delete;
    stop_pipe& operator=(const stop_pipe&) = delete;

    void trigger()
    {
        if (fds_[1] >= 0)
        {
            ::close(fds_[1]);
            fds_[1] = -1;
        }
    }

    [[nodiscard]] int fd() const noexcept
    {
        return fds_[0];
    }

private:
    int fds_[2] = {-1, -1};
};

} // namespace

// The HTTP server of cxxtools is not used, because it hands the responder all
// bytes that have arrived, those of the next request included, and sends a
// response after the responder has returned, so that a stop cannot wait for it.
struct http_server::impl
{
    impl(const http_limits& server_limits, http_handler request_handler,
         std::function<void()> unanswered_hook)
        : limits(server_limits), handler(std::move(request_handler)),
          on_unanswered(std::move(unanswered_hook))
    {
    }

    void accept_loop();
    void open(int fd);
    void serve(int fd);
    http_response handle(const http_request& request);
    void end_request(const http_request& request, const http_response& response,
                     bool is_answered);
    void end_connection();

    http_limits limits;
    http_handler handler;
    std::function<void()> on_unanswered;
    listener incoming;
    stop_pipe accept_stopping;
    stop_pipe stopping;
    std::atomic<bool> is_closing{false};
    std::thread thread;
    std::mutex mutex;
    std::condition_variable changed;
    std::size_t connections = 0;
    http_server_counts counts;
    std::size_t in_service = 0;
};

void http_server::impl::accept_loop()
{
    for (;;)
    {
        try
        {
            const int fd = incoming.accept(accept_stopping.fd());
            if (fd < 0)
            {
                return;
            }
            open(fd);
        }
        catch (const std::exception& ex)
        {
            log_warning("cannot accept an HTTP connection",
                        {{"error", ex.what()}});
            std::this_thread::sleep_for(accept_retry);
        }
    }
}

// Starts the thread of a connection, which closes it.
void http_server::impl::open(int fd)
{
    const int enabled = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
    {
        const std::lock_guard<std::mutex> lock(mutex);
        if (connections >= limits.max_connections)
        {
            log_warning("too many HTTP connections",
                        {{"limit", limits.max_connections}});
            ::close(fd);
            return;
        }
        ++connections;
    }
    try
    {
        std::thread(
            [this, fd]
            {
                serve(fd);
                ::close(fd);
                end_connection();
            })
            .detach();
    }
    catch (const std::system_error&)
    {
        ::close(fd);
        end_connection();
        throw;
    }
}

void http_server::impl::serve(int fd)
{
    http_connection peer(fd, stopping.fd(), limits);
    bool is_last = false;
    while (!is_last)
    {
        http_request request;
        switch (peer.read(request))
        {
        case read_result::request:
        {
            const http_response response = handle(request);
            is_last = !peer.keeps_alive() || (is_closing && !peer.has_next());
            const bool is_answered = peer.write(response, is_last);
            end_request(request, response, is_answered);
            is_last = is_last || !is_answered;
            break;
        }
        case read_result::malformed:
            is_last = true;
            (void)peer.write(error_response(400, "invalid_argument",
                                            "malformed HTTP request; correct "
                                            "it"),
                             is_last);
            break;
        case read_result::header_too_large:
            is_last = true;
            (void)peer.write(
                error_response(431, "too_large",
                               fmt::format("the header exceeds {} bytes; send "
                                           "a smaller one",
                                           limits.max_header_bytes)),
                is_last);
            break;
        case read_result::body_too_large:
            is_last = true;
            (void)peer.write(
                error_response(413, "too_large",
                               fmt::format("the body exceeds {} bytes; send a "
                                           "smaller one",
                                           limits.max_body_bytes)),
                is_last);
            break;
        case read_result::closed:
            is_last = true;
            break;
        }
    }
    peer.finish();
}

// Counts a request that has been read, and handles it when it is its turn.
http_response http_server::impl::handle(const http_request& request)
{
    {
        std::unique_lock<std::mutex> lock(mutex);
        ++counts.in_progress;
        changed.wait(lock,
                     [this] { return in_service < limits.max_in_service; });
        ++in_service;
    }
    http_response response;
    try
    {
        response = handler(request);
    }
    catch (const std::exception& ex)
    {
        log_error("request failed", {{"method", request.method},
                                     {"path", request.path},
                                     {"error", ex.what()}});
        response =
            error_response(500, "internal",
                           "the request failed; report the log line with this "
                           "time");
    }
    const std::lock_guard<std::mutex> lock(mutex);
    --in_service;
    if (in_service + 1 == limits.max_in_service)
    {
        changed.notify_all();
    }
    return response;
}

void http_server::impl::end_request(const http_request& request,
                                    const http_response& response,
                                    bool is_answered)
{
    if (!is_answered)
    {
        log_unanswered(request, response);
        if (on_unanswered)
        {
            on_unanswered();
        }
    }
    const std::lock_guard<std::mutex> lock(mutex);
    ++(is_answered ? counts.answered : counts.unanswered);
    if (--counts.in_progress == 0)
    {
        changed.notify_all();
    }
}

// Notifies under the lock, since the server may be destroyed as soon as the
// number of connections is seen to be 0.
void http_server::impl::end_connection()
{
    const std::lock_guard<std::mutex> lock(mutex);
    if (--connections == 0)
    {
        changed.notify_all();
    }
}

http_server::http_server(const http_limits& limits, http_handler handler,
                         std::function<void()> on_unanswered)
    : impl_(std::make_unique<impl>(limits, std::move(handler),
                                   std::move(on_unanswered)))
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
        impl_->incoming.open(address, port);
    }
    catch (const std::exception& ex)
    {
        return make_error(error_kind::unavailable,
                          fmt::format("cannot listen on {}:{} ({}); choose a "
                                      "free address",
                                      address, port, ex.what()));
    }
    impl_->thread = std::thread([this] { impl_->accept_loop(); });
    return absl::OkStatus();
}

void http_server::close_when_answered()
{
    impl_->is_closing = true;
}

bool http_server::wait_idle(std::chrono::milliseconds timeout)
{
    std::unique_lock<std::mutex> lock(impl_->mutex);
    return impl_->changed.wait_for(
        lock, timeout, [this] { return impl_->counts.in_progress == 0; });
}

void http_server::stop()
{
    if (!impl_->thread.joinable())
    {
        return;
    }
    impl_->is_closing = true;
    impl_->accept_stopping.trigger();
    impl_->thread.join();
    impl_->incoming.close();
    impl_->stopping.trigger();
    std::unique_lock<std::mutex> lock(impl_->mutex);
    impl_->changed.wait(lock, [this] { return impl_->connections == 0; });
}

int http_server::in_progress() const
{
    const std::lock_guard<std::mutex> lock(impl_->mutex);
    return static_cast<int>(impl_->counts.in_progress);
}

http_server_counts http_server::counts() const
{
    const std::lock_guard<std::mutex> lock(impl_->mutex);
    return impl_->counts;
}

} // namespace egretspindle
