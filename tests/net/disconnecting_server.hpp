/// \file
/// Server that closes connections after receiving a request.

#ifndef EGRETSPINDLE_TESTS_NET_DISCONNECTING_SERVER_HPP
#define EGRETSPINDLE_TESTS_NET_DISCONNECTING_SERVER_HPP

#include <atomic>
#include <thread>

namespace egretspindle::test
{

/// Accepts connections, reads one request on each, counts it and closes the
/// connection without a response.
class disconnecting_server
{
public:
    disconnecting_server();
    ~disconnecting_server();

    [[nodiscard]] unsigned short port() const
    {
        return port_;
    }

    [[nodiscard]] int request_count() const
    {
        return request_count_;
    }

private:
    void serve();

    int fd_ = -1;
    unsigned short port_ = 0;
    std::atomic<int> request_count_{0};
    std::thread thread_;
};

} // namespace egretspindle::test

#endif
