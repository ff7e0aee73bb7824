#include "egretspindle/core/error.hpp"
#include "egretspindle/net/rpc_client.hpp"
#include "egretspindle/net/rpc_server.hpp"

#include "relay.hpp"
#include "support/free_port.hpp"

#include <catch2/catch.hpp>

#include <condition_variable>
#include <mutex>
#include <thread>
#include <vector>

using namespace egretspindle;

namespace
{

/// Makes each message wait until a number of them have arrived.
class meeting
{
public:
    explicit meeting(int count) : missing_(count) {}

    void join()
    {
        std::unique_lock<std::mutex> lock(mutex_);
        --missing_;
        changed_.notify_all();
        changed_.wait(lock, [this] { return missing_ <= 0; });
    }

private:
    std::mutex mutex_;
    std::condition_variable changed_;
    int missing_;
};

} // namespace

// Guards against messages that time out one after the other, each on another
// idle connection that was severed at the same time.
TEST_CASE("severed connections to a host cost one message", "[net]")
{
    constexpr int connection_count = 4;
    const unsigned short port = test::free_port();
    meeting all_connected(connection_count);
    rpc_server server(
        "key",
        [&](const std::string&, const std::string&,
            const std::string& payload) -> absl::StatusOr<std::string>
        {
            all_connected.join();
            return payload;
        });
    REQUIRE(server.start("127.0.0.1", port).ok());
    test::relay relay(port);
    const endpoint address{"127.0.0.1", relay.port()};
    const std::chrono::milliseconds timeout(5000);
    rpc_client client("key", "a1");
    std::vector<std::thread> callers;
    callers.reserve(connection_count);
    for (int n = 0; n < connection_count; ++n)
    {
        callers.emplace_back(
            [&] { (void)client.call(address, "echo", "first", timeout); });
    }
    for (std::thread& item : callers)
    {
        item.join();
    }
    relay.sever();
    CHECK(kind_of(client
                      .call(address, "echo", "second",
                            std::chrono::milliseconds(200))
                      .status()) == error_kind::deadline_exceeded);
    for (int n = 1; n < connection_count; ++n)
    {
        CHECK(client.call(address, "echo", "third", timeout).ok());
    }
}
