#include "egretspindle/scheduler/job_coordinator.hpp"
#include "egretspindle/scheduler/shard.hpp"

#include "lone_host.hpp"
#include "queued_store.hpp"

#include <catch2/catch.hpp>

using namespace egretspindle;

namespace
{

job_coordinator_hooks make_coordinator_hooks()
{
    job_coordinator_hooks hooks;
    hooks.config = []
    {
        fleet_config config;
        config.version = 1;
        queue_config queue;
        queue.name = "queue";
        queue.service = "svc";
        queue.max_attempts = 2;
        config.queues = {queue};
        return std::make_shared<const fleet_config>(config);
    };
    hooks.choose_racks =
        [](const step_terms&, std::size_t count, const std::string&)
    {
        return std::vector<std::string>(count, "r1");
    };
    hooks.rack_token = [](const std::string&)
    {
        return 5;
    };
    hooks.is_shard_confirmed = [](const std::string&, std::int64_t)
    {
        return true;
    };
    hooks.on_shard_lost = [](const std::string&) {
    };
    hooks.send = [](const rack_orders&) {
    };
    return hooks;
}

job_request make_request(const std::string& id)
{
    job_request request;
    request.id = id;
    request.queue = "queue";
    step_spec step;
    step.count = 1;
    step.cpu_milli = 1'000;
    request.spec.steps = {step};
    request.budget_ms = 20'000;
    return request;
}

} // namespace

// Guards against hosts that all start nothing while the store is only slow:
// their heartbeats are carried out, but count as failed.
TEST_CASE("a host keeps the right to grant leases while transactions wait in "
          "the store",
          "[.][store_queue]")
{
    queued_store store;
    lone_host host(store);
    const auto may_grant = [&host]
    {
        return host.taken > 0 && boot_clock::now() < host.may_grant_until;
    };
    REQUIRE(host.wait_for(milliseconds(15'000), may_grant));
    store.set_wait(longest_store_wait);
    // Twice as long as the right lasts after the last heartbeat.
    const bool was_lost =
        host.wait_for(lease_limits{}.authority * 2, [&]
                      { return boot_clock::now() >= host.may_grant_until; });
    CHECK_FALSE(was_lost);
}

// Guards against a fleet that grants no leases after a loss of power, since its
// own writes fill the queue of the store.
TEST_CASE("a host that starts while transactions wait in the store may grant "
          "leases",
          "[.][store_queue]")
{
    queued_store store;
    store.set_wait(longest_store_wait);
    lone_host host(store);
    CHECK(host.wait_for(milliseconds(15'000),
                        [&] {
                            return host.taken > 0 &&
                                   boot_clock::now() < host.may_grant_until;
                        }));
}

// Guards against records that are repeated without an end, each time too early
// for the answer.
TEST_CASE("a job is accepted while transactions wait in the store",
          "[.][store_queue]")
{
    queued_store store;
    job_coordinator coordinator(store, make_coordinator_hooks(), {});
    for (int n = 0; n < shard_count; ++n)
    {
        coordinator.take_shard(shard_name(n), 5);
    }
    REQUIRE(coordinator.submit(make_request("0123456789abcdef")).verdict ==
            "accepted");
    store.set_wait(longest_store_wait);
    CHECK(coordinator.submit(make_request("fedcba9876543210")).verdict ==
          "accepted");
    coordinator.stop();
}
