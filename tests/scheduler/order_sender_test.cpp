#include "egretspindle/core/error.hpp"
#include "egretspindle/scheduler/job_coordinator.hpp"
#include "egretspindle/scheduler/order_sender.hpp"
#include "egretspindle/scheduler/shard.hpp"

#include "fake_store.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <thread>

using namespace egretspindle;

namespace
{

constexpr std::int64_t rack_token = 5;

/// Owner of one rack that answers each message after a delay.
struct slow_owner
{
    std::mutex mutex;
    std::condition_variable changed;
    milliseconds delay{100};
    std::vector<rack_orders> received;
    std::map<std::string, time_point> first_arrival; ///< of a start, by step
    int repeated = 0; ///< starts that were marked as repeated

    rack_orders_reply answer(const rack_orders& orders)
    {
        std::this_thread::sleep_for(delay);
        const std::lock_guard<std::mutex> lock(mutex);
        received.push_back(orders);
        for (const start_batch& batch : orders.starts)
        {
            first_arrival.emplace(batch.terms.step, steady_clock::now());
            repeated += static_cast<int>(std::count_if(
                batch.runs.begin(), batch.runs.end(),
                [](const step_run& run) { return run.is_repeated; }));
        }
        changed.notify_all();
        return {true, rack_token};
    }
};

/// Coordinator whose orders go through a sender to a slow owner.
struct sending_host
{
    fake_store store;
    slow_owner owner;
    metric_registry registry;
    host_metrics metrics{registry};
    std::unique_ptr<job_coordinator> coordinator;
    std::unique_ptr<order_sender> sender;

    sending_host()
    {
        order_sender_hooks hooks;
        hooks.owner_of = [](const std::string&)
        {
            owner_location location;
            location.host = "other";
            location.token = rack_token;
            return std::optional<owner_location>(location);
        };
        hooks.refresh = [] {
        };
        hooks.call = [this](const owner_location&, const rack_orders& orders)
        {
            return absl::StatusOr<rack_orders_reply>(owner.answer(orders));
        };
        hooks.remove_outdated_starts = [this](rack_orders& orders)
        {
            coordinator->remove_outdated_starts(orders);
        };
        hooks.mark_undelivered = [this](const rack_orders& orders)
        {
            coordinator->mark_undelivered(orders);
        };
        hooks.confirm =
            [this](const rack_orders& orders, const rack_orders_reply& reply)
        {
            coordinator->confirm(orders, reply);
        };
        sender = std::make_unique<order_sender>(std::move(hooks), metrics);
        coordinator = std::make_unique<job_coordinator>(
            store, make_coordinator_hooks(), coordinator_limits{});
        for (int n = 0; n < shard_count; ++n)
        {
            coordinator->take_shard(shard_name(n));
        }
    }

    ~sending_host()
    {
        coordinator->stop();
        sender->stop();
    }

    sending_host(const sending_host&) = delete;
    sending_host& operator=(const sending_host&) = delete;

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
            return rack_token;
        };
        hooks.on_shard_lost = [](const std::string&) {
        };
        hooks.send = [this](rack_orders orders)
        {
            sender->post(std::move(orders));
        };
        hooks.is_in_delivery =
            [this](const std::string& rack, time_point collected_at)
        {
            return sender->is_in_delivery(rack, collected_at);
        };
        return hooks;
    }

    // Submits a job of one long-running task.
    void submit(int n)
    {
        job_request request;
        request.id = fmt::format("{:016x}", n);
        request.queue = "queue";
        step_spec step;
        step.count = 1;
        step.cpu_milli = 1'000;
        step.is_long_running = true;
        request.spec.steps = {step};
        request.budget_ms = 20'000;
        REQUIRE(coordinator->submit(request).verdict == "accepted");
    }
};

std::string step_of(int n)
{
    return fmt::format("{:016x}.0.0", n);
}

} // namespace

// Guards against starts that wait for one message after the other while the
// receiver answers more slowly than jobs arrive, and are sent again meanwhile.
TEST_CASE("starts do not queue up behind each other for a slow rack owner",
          "[scheduler][scheduler_order_backlog]")
{
    constexpr int jobs = 180;
    constexpr milliseconds between_jobs{16};
    // Users expect a long-running task to be at work again within 6 s.
    constexpr milliseconds max_wait{6'000};
    sending_host host;
    std::map<std::string, time_point> submitted;
    time_point next_tick = steady_clock::now();
    for (int n = 0; n < jobs; ++n)
    {
        const time_point begun = steady_clock::now();
        submitted[step_of(n)] = begun;
        host.submit(n);
        if (begun >= next_tick)
        {
            host.coordinator->tick();
            next_tick = begun + milliseconds(250);
        }
        std::this_thread::sleep_until(begun + between_jobs);
    }
    const time_point end = steady_clock::now() + max_wait;
    std::unique_lock<std::mutex> lock(host.owner.mutex);
    while (host.owner.first_arrival.size() < jobs && steady_clock::now() < end)
    {
        lock.unlock();
        host.coordinator->tick();
        lock.lock();
        host.owner.changed.wait_for(lock, milliseconds(250));
    }
    CHECK(host.owner.first_arrival.size() == jobs);
    milliseconds longest{0};
    for (const auto& [step, arrived_at] : host.owner.first_arrival)
    {
        longest = std::max(longest, std::chrono::duration_cast<milliseconds>(
                                        arrived_at - submitted.at(step)));
    }
    INFO("messages: " << host.owner.received.size()
                      << ", longest wait in ms: " << longest.count());
    CHECK(longest < max_wait);
    CHECK(host.owner.repeated == 0);
}

namespace
{

/// Coordinator and sender with a number of racks that belong to a host which
/// does not answer. One rack moves to a host that does.
struct moving_rack
{
    static constexpr std::int64_t new_token = 6;

    fake_store store;
    metric_registry registry;
    host_metrics metrics{registry};
    std::mutex mutex;
    std::condition_variable changed;
    bool has_moved = false;
    bool is_silent = true;    ///< the first owner does not answer
    time_point first_sent_at; ///< to the silent host
    time_point arrived_at;    ///< at the new owner of rack r0
    int silent_calls = 0;     ///< messages to the silent host
    std::string next_rack;    ///< of the next job
    std::unique_ptr<job_coordinator> coordinator;
    std::unique_ptr<order_sender> sender;

    // Timeout of `rack_orders`.
    static constexpr milliseconds call_timeout{1'500};

    moving_rack()
    {
        order_sender_hooks hooks;
        hooks.owner_of = [this](const std::string& rack)
        {
            return owner_of(rack);
        };
        hooks.refresh = [] {
        };
        hooks.call =
            [this](const owner_location& owner, const rack_orders& orders)
        {
            return call(owner, orders);
        };
        hooks.remove_outdated_starts = [this](rack_orders& orders)
        {
            coordinator->remove_outdated_starts(orders);
        };
        hooks.mark_undelivered = [this](const rack_orders& orders)
        {
            coordinator->mark_undelivered(orders);
        };
        hooks.confirm =
            [this](const rack_orders& orders, const rack_orders_reply& reply)
        {
            coordinator->confirm(orders, reply);
        };
        sender = std::make_unique<order_sender>(std::move(hooks), metrics);
        coordinator = std::make_unique<job_coordinator>(
            store, make_coordinator_hooks(), coordinator_limits{});
        for (int n = 0; n < shard_count; ++n)
        {
            coordinator->take_shard(shard_name(n));
        }
    }

    ~moving_rack()
    {
        coordinator->stop();
        sender->stop();
    }

    moving_rack(const moving_rack&) = delete;
    moving_rack& operator=(const moving_rack&) = delete;

    std::optional<owner_location> owner_of(const std::string& rack)
    {
        const std::lock_guard<std::mutex> lock(mutex);
        const bool is_moved = has_moved && rack == "r0";
        owner_location location;
        location.host = is_moved ? "new" : "silent";
        location.token = is_moved ? new_token : rack_token;
        return location;
    }

    absl::StatusOr<rack_orders_reply> call(const owner_location& owner,
                                           const rack_orders& orders)
    {
        std::unique_lock<std::mutex> lock(mutex);
        if (owner.host == "new")
        {
            if (orders.token != new_token)
            {
                return rack_orders_reply{};
            }
            if (arrived_at == time_point{} && !orders.starts.empty())
            {
                arrived_at = steady_clock::now();
            }
            changed.notify_all();
            return rack_orders_reply{true, new_token};
        }
        if (first_sent_at == time_point{})
        {
            first_sent_at = steady_clock::now();
        }
        ++silent_calls;
        changed.notify_all();
        changed.wait_for(lock, call_timeout, [this] { return !is_silent; });
        return make_error(error_kind::deadline_exceeded, "no answer");
    }

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
            config.queues = {queue};
            return std::make_shared<const fleet_config>(config);
        };
        hooks.choose_racks =
            [this](const step_terms&, std::size_t count, const std::string&)
        {
            return std::vector<std::string>(count, next_rack);
        };
        hooks.rack_token = [this](const std::string& rack)
        {
            return owner_of(rack)->token;
        };
        hooks.on_shard_lost = [](const std::string&) {
        };
        hooks.send = [this](rack_orders orders)
        {
            sender->post(std::move(orders));
        };
        hooks.is_in_delivery =
            [this](const std::string& rack, time_point collected_at)
        {
            return sender->is_in_delivery(rack, collected_at);
        };
        return hooks;
    }

    // Submits a job of one long-running task for a rack.
    void submit(int n, const std::string& rack)
    {
        next_rack = rack;
        job_request request;
        request.id = fmt::format("{:016x}", n);
        request.queue = "queue";
        step_spec step;
        step.count = 1;
        step.cpu_milli = 1'000;
        step.is_long_running = true;
        request.spec.steps = {step};
        request.budget_ms = 20'000;
        REQUIRE(coordinator->submit(request).verdict == "accepted");
    }
};

} // namespace

// Guards against a start that is held for a rack's new owner because the
// message with it, or others of its batch, still wait for an answer of the
// former owner.
TEST_CASE("a start reaches the new owner of its rack while the former one "
          "does not answer",
          "[scheduler][scheduler_order_move]")
{
    constexpr int racks = 6;
    // Place of rack r0 in the batch.
    const int place = GENERATE(0, racks - 1);
    INFO("place in the batch: " << place);
    // Users expect a long-running task to be at work again within 6 s.
    constexpr milliseconds max_wait{6'000};
    moving_rack host;
    // The message for the first job occupies the thread of the silent host; the
    // others form its next batch.
    host.submit(100, "r9");
    {
        std::unique_lock<std::mutex> lock(host.mutex);
        host.changed.wait_for(lock, milliseconds(10'000),
                              [&] { return host.silent_calls > 0; });
    }
    for (int n = 0; n < racks; ++n)
    {
        host.submit(n, fmt::format("r{}", (n + racks - place) % racks));
    }
    {
        std::unique_lock<std::mutex> lock(host.mutex);
        REQUIRE(host.changed.wait_for(lock, milliseconds(30'000),
                                      [&] { return host.silent_calls > 1; }));
        host.has_moved = true;
    }
    const time_point moved_at = steady_clock::now();
    std::unique_lock<std::mutex> lock(host.mutex);
    while (host.arrived_at == time_point{} &&
           steady_clock::now() < moved_at + 5 * max_wait)
    {
        lock.unlock();
        host.coordinator->tick();
        lock.lock();
        host.changed.wait_for(lock, milliseconds(250));
    }
    host.is_silent = false;
    host.changed.notify_all();
    REQUIRE(host.arrived_at != time_point{});
    const milliseconds waited =
        std::chrono::duration_cast<milliseconds>(host.arrived_at - moved_at);
    INFO("wait in ms: " << waited.count());
    CHECK(waited < max_wait);
}

// Guards against starts that count as on their way for ever after a message
// without an answer.
TEST_CASE("a start whose message was not answered is sent again",
          "[scheduler][scheduler_order_move]")
{
    moving_rack host;
    host.submit(0, "r0");
    const time_point end = steady_clock::now() + milliseconds(30'000);
    std::unique_lock<std::mutex> lock(host.mutex);
    while (host.silent_calls < 2 && steady_clock::now() < end)
    {
        lock.unlock();
        host.coordinator->tick();
        lock.lock();
        host.changed.wait_for(lock, milliseconds(250));
    }
    const int calls = host.silent_calls;
    host.is_silent = false;
    host.changed.notify_all();
    CHECK(calls >= 2);
}

// Guards against second copies of a start whose message is still on its way.
TEST_CASE("a start is not sent again before its message is answered",
          "[scheduler][scheduler_order_backlog]")
{
    sending_host host;
    // Longer than `coordinator_limits::resend_period`.
    host.owner.delay = milliseconds(1'400);
    host.submit(0);
    const time_point end = steady_clock::now() + milliseconds(30'000);
    std::unique_lock<std::mutex> lock(host.owner.mutex);
    while (host.owner.received.empty() && steady_clock::now() < end)
    {
        lock.unlock();
        host.coordinator->tick();
        lock.lock();
        host.owner.changed.wait_for(lock, milliseconds(100));
    }
    REQUIRE(host.owner.received.size() == 1);
    lock.unlock();
    // The outbox delivers in the order of posting, so a copy would come before
    // this start.
    host.submit(1);
    lock.lock();
    while (host.owner.first_arrival.count(step_of(1)) == 0 &&
           steady_clock::now() < end)
    {
        host.owner.changed.wait_for(lock, milliseconds(100));
    }
    CHECK(host.owner.first_arrival.count(step_of(1)) == 1);
    CHECK(host.owner.repeated == 0);
}
