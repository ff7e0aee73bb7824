#include "proxy.hpp"

#include "egretspindle/core/error.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <arpa/inet.h>
#include <fnmatch.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

namespace egretspindle::standin
{

namespace
{

int listen_on(const endpoint& address)
{
    const int fd =
        socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int one = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    sockaddr_in name{};
    name.sin_family = AF_INET;
    name.sin_port = htons(address.port);
    inet_pton(AF_INET, address.address.c_str(), &name.sin_addr);
    if (bind(fd, reinterpret_cast<sockaddr*>(&name), sizeof name) != 0 ||
        listen(fd, 256) != 0)
    {
        close(fd);
        return -1;
    }
    return fd;
}

bool matches(const link_command& command, const std::string& name)
{
    const auto match = [&](const std::string& pattern)
    {
        return !pattern.empty() &&
               fnmatch(pattern.c_str(), name.c_str(), 0) == 0;
    };
    return match(command.link) ||
           std::any_of(command.links.begin(), command.links.end(), match);
}

} // namespace

proxy::proxy(std::vector<proxy_link> links)
    : links_(std::move(links)), wake_fd_(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
{
}

proxy::~proxy()
{
    is_stopping_ = true;
    wake();
    if (thread_.joinable())
    {
        thread_.join();
    }
    for (const proxy_link& item : links_)
    {
        if (item.listen_fd >= 0)
        {
            close(item.listen_fd);
        }
    }
    close(wake_fd_);
}

absl::Status proxy::start()
{
    for (proxy_link& item : links_)
    {
        item.listen_fd = listen_on(item.listen);
        if (item.listen_fd < 0)
        {
            return make_error(error_kind::unavailable,
                              fmt::format("cannot listen on {}; choose a free "
                                          "address",
                                          to_string(item.listen)));
        }
    }
    thread_ = std::thread([this] { run(); });
    return absl::OkStatus();
}

absl::Status proxy::apply(const link_command& command)
{
    const std::optional<link_mode> mode = parse_link_mode(command.mode);
    if (!mode)
    {
        return make_error(error_kind::invalid_argument,
                          "unknown mode; see fault_proxy --help");
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    int count = 0;
    for (proxy_link& item : links_)
    {
        if (matches(command, item.name))
        {
            item.mode = *mode;
            item.delay_ms = command.delay_ms;
            item.count = command.count;
            ++count;
        }
    }
    wake();
    return count > 0 ? absl::OkStatus()
                     : make_error(error_kind::not_found,
                                  "no link of this name; see GET /control");
}

std::vector<link_state> proxy::state()
{
    const std::lock_guard<std::mutex> lock(mutex_);
    std::vector<link_state> result;
    for (const proxy_link& item : links_)
    {
        const auto count = std::count_if(
            connections_.begin(), connections_.end(),
            [&](const connection& it) { return &it.link() == &item; });
        result.push_back({item.name, std::string(to_string(item.mode)),
                          item.delay_ms, static_cast<long>(count)});
    }
    return result;
}

void proxy::run()
{
    std::vector<pollfd> fds;
    while (!is_stopping_)
    {
        const time_point now = steady_clock::now();
        time_point wake_time = now + std::chrono::seconds(1);
        fds.clear();
        fds.push_back({wake_fd_, POLLIN, 0});
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            for (const proxy_link& item : links_)
            {
                fds.push_back({item.listen_fd, POLLIN, 0});
            }
            for (const connection& item : connections_)
            {
                item.add_poll(fds, now, wake_time);
            }
        }
        const long wait_us =
            std::chrono::duration_cast<std::chrono::microseconds>(wake_time -
                                                                  now)
                .count();
        const timespec timeout{wait_us / 1'000'000, wait_us % 1'000'000 * 1000};
        (void)ppoll(fds.data(), fds.size(), &timeout, nullptr);
        std::uint64_t ignored = 0;
        (void)!read(wake_fd_, &ignored, sizeof ignored);
        const std::lock_guard<std::mutex> lock(mutex_);
        for (proxy_link& item : links_)
        {
            accept_from(item);
        }
        transfer(steady_clock::now());
    }
}

void proxy::accept_from(proxy_link& source)
{
    while (true)
    {
        const int fd = accept4(source.listen_fd, nullptr, nullptr,
                               SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (fd < 0)
        {
            return;
        }
        const int one = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
        connections_.emplace_back(source, fd);
    }
}

void proxy::transfer(time_point now)
{
    for (auto it = connections_.begin(); it != connections_.end();)
    {
        const bool is_reset = it->link().mode == link_mode::reset;
        if (!is_reset && it->transfer(now))
        {
            ++it;
            continue;
        }
        if (is_reset || !it->is_complete())
        {
            it->reset();
        }
        it = connections_.erase(it);
    }
}

void proxy::wake()
{
    const std::uint64_t one = 1;
    (void)!write(wake_fd_, &one, sizeof one);
}

} // namespace egretspindle::standin
