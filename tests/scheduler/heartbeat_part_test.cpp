#include "egretspindle/scheduler/shard.hpp"

#include "fake_store.hpp"
#include "lone_host.hpp"

#include <catch2/catch.hpp>

using namespace egretspindle;

// Guards against hosts that count as dead, and may start nothing, because the
// writes that follow a loss of hosts fill the part of the store that all share.
TEST_CASE("a host keeps the right to grant leases while the common part of the "
          "store is busy",
          "[.][scheduler_heartbeat_part]")
{
    fake_store store;
    lone_host host(store);
    REQUIRE(host.wait_for(milliseconds(15'000),
                          [&host] {
                              return host.taken > 0 &&
                                     boot_clock::now() < host.may_grant_until;
                          }));
    store.hold_part("");
    // Twice as long as the right lasts after the last heartbeat.
    const bool was_lost =
        host.wait_for(lease_limits{}.authority * 2, [&host]
                      { return boot_clock::now() >= host.may_grant_until; });
    store.release_part();
    CHECK_FALSE(was_lost);
}
