/// \file
/// Member of the cluster with an RPC server on a loopback port.

#ifndef EGRETSPINDLE_TESTS_MEMBERSHIP_LOOPBACK_MEMBER_HPP
#define EGRETSPINDLE_TESTS_MEMBERSHIP_LOOPBACK_MEMBER_HPP

#include "egretspindle/membership/membership_service.hpp"
#include "egretspindle/net/rpc_client.hpp"
#include "egretspindle/net/rpc_server.hpp"
#include "egretspindle/protocol/message_router.hpp"
#include "egretspindle/protocol/message_type.hpp"

#include <arpa/inet.h>
#include <functional>
#include <netinet/in.h>
#include <stdexcept>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace egretspindle::test
{

/// Returns a free port on 127.0.0.1, chosen by the kernel.
inline unsigned short loopback_port()
{
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    const bool is_bound =
        bind(fd, reinterpret_cast<sockaddr*>(&address), size) == 0 &&
        getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size) == 0;
    close(fd);
    if (!is_bound)
    {
        throw std::runtime_error("no free port on 127.0.0.1");
    }
    return ntohs(address.sin_port);
}

/// Waits until a condition holds.
///
/// \returns false if it does not hold within the limit
inline bool eventually(const std::function<bool()>& condition,
                       milliseconds limit = milliseconds(20'000))
{
    const time_point end = steady_clock::now() + limit;
    while (steady_clock::now() < end)
    {
        if (condition())
        {
            return true;
        }
        std::this_thread::sleep_for(milliseconds(10));
    }
    return condition();
}

/// Membership service whose messages go through an RPC client and server.
class loopback_member
{
public:
    loopback_member(const std::string& name,
                    const std::vector<std::string>& seeds,
                    store_client* store = nullptr,
                    std::function<member_digest()> describe = {})
        : port_(loopback_port()), client("key", name),
          service(
              make_options(name, seeds), client,
              describe ? std::move(describe) : [] { return member_digest{}; },
              store),
          server_("key",
                  [this](const std::string& type, const std::string& sender,
                         const std::string& payload)
                  { return router.dispatch(type, sender, payload); })
    {
        router.on<ping_message, ping_message>(
            message_type::ping,
            [this](const std::string& sender, const ping_message& message)
            { return service.handle_ping(sender, message); });
        router.on<ping_message, ping_message>(
            message_type::ping_request,
            [this](const std::string& sender, const ping_message& message)
            { return service.handle_ping_request(sender, message); });
    }

    ~loopback_member()
    {
        stop();
    }

    loopback_member(const loopback_member&) = delete;
    loopback_member& operator=(const loopback_member&) = delete;

    void start()
    {
        if (!server_.start("127.0.0.1", port_).ok())
        {
            throw std::runtime_error("cannot listen on " + address());
        }
        service.start();
    }

    void stop()
    {
        service.stop();
        server_.stop();
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(port_);
    }

private:
    membership_options make_options(const std::string& name,
                                    const std::vector<std::string>& seeds) const
    {
        membership_options options;
        options.name = name;
        options.address = address();
        options.data_center = "a";
        options.seeds = seeds;
        return options;
    }

    unsigned short port_;

public:
    rpc_client client;
    membership_service service;
    message_router router;

private:
    rpc_server server_;
};

} // namespace egretspindle::test

#endif
