#include "egretspindle/scheduler/load_exchange.hpp"

#include "egretspindle/codec/json.hpp"
#include "egretspindle/core/endpoint.hpp"
#include "egretspindle/core/error.hpp"
#include "egretspindle/logging/log.hpp"
#include "egretspindle/logging/log_rate_limit.hpp"
#include "egretspindle/net/message_auth.hpp"
#include "egretspindle/scheduler/datagram_queue.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <atomic>
#include <condition_variable>
#include <cstring>
#include <ctime>
#include <mutex>
#include <optional>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace egretspindle
{

namespace
{

constexpr std::string_view message_type = "load";
// Size in bytes of the authentication tag before the payload.
constexpr std::size_t tag_size = 16;
// Below the maximum UDP payload of 65'507 bytes.
constexpr std::size_t max_datagram_size = 60'000;
// Longest delay until the receiving thread notices `stop`.
constexpr timeval receive_timeout{0, 500'000};
// Minimum time between log lines about messages that cannot be used.
constexpr milliseconds log_period{1'000};

// Returns the address, or 0.0.0.0 if it is no IPv4 address.
sockaddr_in to_address(const endpoint& server)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(server.port);
    ::inet_pton(AF_INET, server.address.c_str(), &address.sin_addr);
    return address;
}

// Returns how long ago the kernel received a datagram; 0 if it does not say so.
milliseconds time_in_socket(msghdr& header)
{
    for (const cmsghdr* item = CMSG_FIRSTHDR(&header); item != nullptr;
         item = CMSG_NXTHDR(&header, const_cast<cmsghdr*>(item)))
    {
        if (item->cmsg_level != SOL_SOCKET ||
            item->cmsg_type != SCM_TIMESTAMPNS)
        {
            continue;
        }
        timespec received_at{};
        std::memcpy(&received_at, CMSG_DATA(item), sizeof received_at);
        timespec now{};
        ::clock_gettime(CLOCK_REALTIME, &now);
        const std::chrono::nanoseconds waited =
            std::chrono::seconds(now.tv_sec - received_at.tv_sec) +
            std::chrono::nanoseconds(now.tv_nsec - received_at.tv_nsec);
        // Negative if the clock was set back.
        return std::clamp(std::chrono::duration_cast<milliseconds>(waited),
                          milliseconds(0), max_message_age);
    }
    return milliseconds(0);
}

// Receives a datagram. Returns its size, and sets how long it has waited to be
// read.
ssize_t receive_datagram(int socket, std::string& buf, milliseconds& waited)
{
    iovec part{buf.data(), buf.size()};
    alignas(cmsghdr) std::array<char, CMSG_SPACE(sizeof(timespec))> control{};
    msghdr header{};
    header.msg_iov = &part;
    header.msg_iovlen = 1;
    header.msg_control = control.data();
    header.msg_controllen = control.size();
    const ssize_t n = ::recvmsg(socket, &header, 0);
    waited = n < 0 ? milliseconds(0) : time_in_socket(header);
    return n;
}

} // namespace

struct load_exchange::impl
{
    void receive_all();
    void send_all();
    void send_burst(const std::vector<queued_datagram>& burst,
                    time_point now) const;
    void send_datagram(const std::string& text, const std::string& peer) const;
    [[nodiscard]] std::string encode(load_message message,
                                     milliseconds age) const;
    void log_rejected(std::string_view error);

    log_rate_limit log_limit{log_period};
    std::string authentication_key;
    receive_function on_receive;
    int socket = -1;
    std::atomic<bool> is_stopping{false};
    std::thread thread;
    std::mutex queue_mutex; // guards `queue`
    std::condition_variable queue_changed;
    datagram_queue queue;
    std::thread sender;
};

// Passes valid messages to `on_receive` until `stop` is called.
void load_exchange::impl::receive_all()
{
    std::string buf(max_datagram_size, '\0');
    while (!is_stopping)
    {
        milliseconds waited{0};
        const ssize_t n = receive_datagram(socket, buf, waited);
        if (n <= static_cast<ssize_t>(tag_size))
        {
            continue;
        }
        const std::string_view text(buf.data(), static_cast<std::size_t>(n));
        const std::string_view payload = text.substr(tag_size);
        const std::string tag = reply_tag(
            message_mac(authentication_key, message_type, "", payload));
        if (!constant_time_equal(tag, text.substr(0, tag_size)))
        {
            continue; // not signed with the key of this cluster
        }
        absl::StatusOr<load_message> message = from_json<load_message>(payload);
        if (!message.ok())
        {
            log_rejected(std::string(message.status().message()));
            continue;
        }
        message->age_ms = (age_of(*message) + waited).count();
        try
        {
            on_receive(*message, text.size());
        }
        catch (const std::exception& ex)
        {
            log_rejected(ex.what());
        }
    }
}

// Sends the queued datagrams in bursts until `stop` is called.
void load_exchange::impl::send_all()
{
    std::unique_lock<std::mutex> lock(queue_mutex);
    while (!is_stopping)
    {
        if (queue.waiting.empty())
        {
            queue_changed.wait(lock);
            continue;
        }
        const time_point now = steady_clock::now();
        const std::vector<queued_datagram> burst = take_burst(queue, now);
        lock.unlock();
        send_burst(burst, now);
        lock.lock();
        queue_changed.wait_until(lock, queue.burst_at + burst_interval,
                                 [this] { return is_stopping.load(); });
    }
}

void load_exchange::impl::send_burst(const std::vector<queued_datagram>& burst,
                                     time_point now) const
{
    std::shared_ptr<const load_message> encoded;
    std::string text;
    for (const queued_datagram& item : burst)
    {
        if (item.message != encoded)
        {
            encoded = item.message;
            text = encode(*encoded, std::chrono::duration_cast<milliseconds>(
                                        now - item.measured_at));
        }
        send_datagram(text, item.peer);
    }
}

// Returns a datagram with a message that was measured `age` ago.
std::string load_exchange::impl::encode(load_message message,
                                        milliseconds age) const
{
    message.age_ms = age.count();
    const std::string payload = to_json(message);
    return reply_tag(
               message_mac(authentication_key, message_type, "", payload)) +
           payload;
}

void load_exchange::impl::send_datagram(const std::string& text,
                                        const std::string& peer) const
{
    const absl::StatusOr<endpoint> server = parse_endpoint(peer);
    if (!server.ok())
    {
        return;
    }
    const sockaddr_in address = to_address(*server);
    // Errors are ignored: a later message has newer values.
    static_cast<void>(::sendto(socket, text.data(), text.size(), 0,
                               reinterpret_cast<const sockaddr*>(&address),
                               sizeof address));
}

void load_exchange::impl::log_rejected(std::string_view error)
{
    const std::optional<std::int64_t> suppressed = log_limit.try_acquire();
    if (suppressed)
    {
        log_warning("load message ignored",
                    {{"error", std::string(error)}, {"left_out", *suppressed}});
    }
}

load_exchange::load_exchange(std::string authentication_key,
                             receive_function on_receive)
    : impl_(std::make_unique<impl>())
{
    impl_->authentication_key = std::move(authentication_key);
    impl_->on_receive = std::move(on_receive);
}

load_exchange::~load_exchange()
{
    stop();
}

absl::Status load_exchange::start(const std::string& address,
                                  unsigned short port)
{
    impl_->socket = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    const sockaddr_in local = to_address({address, port});
    if (impl_->socket < 0 ||
        ::bind(impl_->socket, reinterpret_cast<const sockaddr*>(&local),
               sizeof local) != 0)
    {
        return make_error(error_kind::unavailable,
                          fmt::format("cannot bind UDP {}:{}; choose a free "
                                      "address",
                                      address, port));
    }
    ::setsockopt(impl_->socket, SOL_SOCKET, SO_RCVTIMEO, &receive_timeout,
                 sizeof receive_timeout);
    // A process that was paused finds datagrams that arrived long before.
    const int has_timestamps = 1;
    ::setsockopt(impl_->socket, SOL_SOCKET, SO_TIMESTAMPNS, &has_timestamps,
                 sizeof has_timestamps);
    impl_->thread = std::thread([this] { impl_->receive_all(); });
    impl_->sender = std::thread([this] { impl_->send_all(); });
    return absl::OkStatus();
}

unsigned short load_exchange::port() const noexcept
{
    sockaddr_in address{};
    socklen_t size = sizeof address;
    if (::getsockname(impl_->socket, reinterpret_cast<sockaddr*>(&address),
                      &size) != 0)
    {
        return 0;
    }
    return ntohs(address.sin_port);
}

void load_exchange::stop()
{
    {
        const std::lock_guard<std::mutex> lock(impl_->queue_mutex);
        impl_->is_stopping = true;
    }
    impl_->queue_changed.notify_all();
    if (impl_->sender.joinable())
    {
        impl_->sender.join();
    }
    if (impl_->thread.joinable())
    {
        impl_->thread.join();
    }
    if (impl_->socket >= 0)
    {
        ::close(impl_->socket);
        impl_->socket = -1;
    }
}

std::vector<std::size_t>
load_exchange::send(const std::vector<load_message>& messages,
                    time_point measured_at,
                    const std::vector<std::string>& peers)
{
    std::vector<std::size_t> sizes;
    std::vector<load_message> sendable;
    for (const load_message& message : messages)
    {
        const std::size_t bytes =
            impl_->encode(message, milliseconds(0)).size();
        sizes.push_back(bytes);
        if (bytes <= max_datagram_size)
        {
            sendable.push_back(message);
        }
    }
    {
        const std::lock_guard<std::mutex> lock(impl_->queue_mutex);
        add_datagrams(impl_->queue, sendable, peers, measured_at);
    }
    impl_->queue_changed.notify_all();
    return sizes;
}

} // namespace egretspindle
