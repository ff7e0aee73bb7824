/// \file
/// Relay between clients and a server that fails their connections.

#ifndef EGRETSPINDLE_TESTS_NET_RELAY_HPP
#define EGRETSPINDLE_TESTS_NET_RELAY_HPP

#include <atomic>
#include <thread>
#include <vector>

namespace egretspindle::test
{

/// Relays bytes between clients and a server, on any number of connections.
/// Destroy the clients first: the destructor waits until they close their
/// connections.
class relay
{
public:
    /// \param server  port of the server
    explicit relay(unsigned short server);
    ~relay();
    relay(const relay&) = delete;
    relay& operator=(const relay&) = delete;

    /// Returns the port for the clients.
    [[nodiscard]] unsigned short port() const noexcept
    {
        return port_;
    }

    /// From now on each connection is closed when a part of a request arrives
    /// on it.
    void start_dropping() noexcept
    {
        is_dropping_ = true;
    }

    /// Returns the number of connections closed by `start_dropping`.
    [[nodiscard]] int dropped_count() const noexcept
    {
        return dropped_count_;
    }

    /// Keeps the present connections open, but passes nothing on any more.
    void sever() noexcept
    {
        ++severed_count_;
    }

private:
    void serve();
    void relay_connection(int client, int opened_after);

    unsigned short server_port_;
    int fd_;
    unsigned short port_ = 0;
    std::atomic<bool> is_dropping_{false};
    std::atomic<int> dropped_count_{0};
    std::atomic<int> severed_count_{0};
    std::thread thread_;
    std::vector<std::thread> connections_; ///< used by `thread_` only
};

} // namespace egretspindle::test

#endif
