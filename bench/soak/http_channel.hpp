/// \file
/// Keep-alive HTTP connection that sends each request once.

#ifndef EGRETSPINDLE_BENCH_SOAK_HTTP_CHANNEL_HPP
#define EGRETSPINDLE_BENCH_SOAK_HTTP_CHANNEL_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace egretspindle::bench
{

/// Result of a request.
struct channel_reply
{
    int status = 0; ///< 0: no response
    std::string body;
    std::int64_t sent_ms = 0;     ///< steady time after the last byte was sent
    std::int64_t answered_ms = 0; ///< steady time of the response or failure
    bool is_sent = false;         ///< completely
    bool is_closed = false;       ///< the peer closed instead of responding
    bool was_reused = false;      ///< the connection was reused
    /// An earlier response on the connection had `Connection: close`, so that
    /// the server has not taken this request.
    bool is_not_taken = false;
};

/// Request of a client.
struct channel_request
{
    std::string method;
    std::string path;
    std::string body;
};

/// Way in which the body of a request is sent.
struct body_pacing
{
    int pieces = 1;
    std::chrono::milliseconds pause{0}; ///< before each piece
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
    ///
    /// \param timeout  from the last byte of the request
    [[nodiscard]] channel_reply send(const channel_request& request,
                                     std::chrono::milliseconds timeout,
                                     const body_pacing& pacing = {});

    /// Sends requests on one connection without waiting for responses in
    /// between, then receives the responses.
    ///
    /// \param timeout  from the last byte of the last request
    [[nodiscard]] std::vector<channel_reply>
    send_pipelined(const std::vector<channel_request>& requests,
                   std::chrono::milliseconds timeout);

private:
    bool prepare();
    bool connect_to_server();
    [[nodiscard]] bool has_ended() const;
    bool write(std::string_view text);
    bool write_request(const channel_request& request,
                       std::chrono::milliseconds timeout,
                       const body_pacing& pacing);
    void receive(channel_reply& reply,
                 std::chrono::steady_clock::time_point until);
    bool take_response(channel_reply& reply);
    void close_socket();

    std::string address_;
    int fd_ = -1;
    bool has_answered_ = false;
    bool is_closing_ = false; ///< a response had `Connection: close`
    std::string received_;    ///< not yet taken
};

} // namespace egretspindle::bench

#endif
