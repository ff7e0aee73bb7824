/// \file
/// Keep-alive HTTP connection that sends each request once.

#ifndef EGRETSPINDLE_BENCH_SOAK_HTTP_CHANNEL_HPP
#define EGRETSPINDLE_BENCH_SOAK_HTTP_CHANNEL_HPP

#include <chrono>
#include <cstdint>
#include <string>

namespace egretspindle::bench
{

/// Result of a request.
struct channel_reply
{
    int status = 0; ///< 0: no response
    std::string body;
    std::int64_t sent_ms = 0;     ///< steady time after the last byte was sent
    std::int64_t answered_ms = 0; ///< steady time of the response or failure
    bool is_closed = false;       ///< the peer closed instead of responding
    bool was_reused = false;      ///< the connection was reused
};

/// Connection to one address. The library's client may resend a request on a
/// second connection, after which a refusal says nothing about the first copy.
/// The checks of refusals need a client that does not resend.
class http_channel
{
public:
    /// \param address  `ip:port`
    explicit http_channel(std::string address);
    ~http_channel();
    http_channel(const http_channel&) = delete;
    http_channel& operator=(const http_channel&) = delete;

    /// Sends a request, on a new connection when the previous one was closed.
    [[nodiscard]] channel_reply send(const std::string& method,
                                     const std::string& path,
                                     const std::string& body,
                                     std::chrono::milliseconds timeout);

private:
    bool connect_to_server();
    [[nodiscard]] bool has_ended() const;
    void read_response(channel_reply& reply);
    void close_socket();

    std::string address_;
    int fd_ = -1;
    bool has_answered_ = false;
};

} // namespace egretspindle::bench

#endif
