/// \file
/// HTTP server whose responses a test writes.

#ifndef EGRETSPINDLE_TESTS_SUPPORT_SCRIPTED_SERVER_HPP
#define EGRETSPINDLE_TESTS_SUPPORT_SCRIPTED_SERVER_HPP

#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace egretspindle::test
{

/// Returns a response that keeps its connection open.
///
/// \param status  code and reason, such as `200 OK`
[[nodiscard]] std::string make_response(std::string_view status,
                                        std::string_view body);

/// Server that answers each request with the bytes that a script returns, on
/// any number of connections. Bodies of requests have to end in `}`. Destroy
/// the clients first: the destructor waits until they close their connections.
class scripted_server
{
public:
    /// Returns the bytes of the response to a request. Empty: none, and the
    /// connection stays open; no value: none, and the connection is closed.
    /// Called by one thread at a time.
    using script =
        std::function<std::optional<std::string>(const std::string& request)>;

    /// \param closes  whether to close a connection after its first response
    explicit scripted_server(script responses, bool closes = false);
    ~scripted_server();
    scripted_server(const scripted_server&) = delete;
    scripted_server& operator=(const scripted_server&) = delete;

    [[nodiscard]] unsigned short port() const noexcept
    {
        return port_;
    }

    /// Returns the number of requests received.
    [[nodiscard]] int request_count() const;

    /// Returns the number of connections accepted.
    [[nodiscard]] int connection_count() const;

    /// Waits until a number of connections have ended. Returns false after 20
    /// s.
    [[nodiscard]] bool wait_for_closed(int count);

private:
    void serve();
    void serve_connection(int fd);
    bool serve_request(int fd);

    std::mutex script_mutex_; ///< held while `responses_` is called
    script responses_;
    bool closes_;
    int fd_;
    unsigned short port_ = 0;
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    int requests_ = 0;
    int accepted_ = 0;
    int closed_ = 0;
    std::thread thread_;
    std::vector<std::thread> connections_;
};

} // namespace egretspindle::test

#endif
