#include "serve.hpp"

#include "egretspindle/core/endpoint.hpp"

#include <fmt/format.h>

#include <csignal>
#include <cstdio>
#include <pthread.h>

namespace egretspindle::standin
{

namespace
{

sigset_t stop_signals()
{
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    return set;
}

} // namespace

void block_stop_signals()
{
    const sigset_t set = stop_signals();
    pthread_sigmask(SIG_BLOCK, &set, nullptr);
    (void)std::signal(SIGPIPE, SIG_IGN);
}

void wait_for_stop_signal()
{
    const sigset_t set = stop_signals();
    int received = 0;
    sigwait(&set, &received);
}

int serve(const std::string& program, const std::string& listen,
          http_handler handler)
{
    const absl::StatusOr<endpoint> address = parse_endpoint(listen);
    if (!address.ok())
    {
        fmt::print(stderr, "{}: {}\n", program, address.status().ToString());
        return 2;
    }
    http_limits limits;
    // Objects and checkpoints may be larger than a caller's body.
    limits.max_body_bytes = 16 * 1024 * 1024;
    limits.max_in_service = 512;
    http_server server(limits, std::move(handler));
    const absl::Status status = server.start(address->address, address->port);
    if (!status.ok())
    {
        fmt::print(stderr, "{}: {}\n", program, status.ToString());
        return 3;
    }
    fmt::print(stderr, "{}: listening on {}\n", program, listen);
    wait_for_stop_signal();
    server.stop();
    return 0;
}

} // namespace egretspindle::standin
