#include "egretspindle/core/clock.hpp"

#include "admin_caller.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <map>
#include <mutex>
#include <thread>

using namespace egretspindle;
using namespace egretspindle::test;

namespace
{

using clock_type = std::chrono::steady_clock;

// Required limit from the acceptance of a plan until it is in effect on all
// hosts.
constexpr std::chrono::seconds propagation_bound{7};

/// Polls the version in force on every host until it is destroyed.
class version_monitor
{
public:
    explicit version_monitor(cluster& nodes)
    {
        for (const std::string& name : nodes.host_names())
        {
            threads_.emplace_back(
                [this, name,
                 admin = admin_caller(nodes.host(name).admin, "ayu")]
                { poll(name, admin); });
        }
    }

    ~version_monitor()
    {
        is_stopping_ = true;
        for (std::thread& thread : threads_)
        {
            thread.join();
        }
    }

    [[nodiscard]] std::int64_t version(const std::string& name) const
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        const auto it = versions_.find(name);
        return it == versions_.end() ? 0 : it->second;
    }

    /// Returns whether all hosts reach a version within the limit.
    [[nodiscard]] bool wait(const std::vector<std::string>& names,
                            std::int64_t wanted,
                            std::chrono::milliseconds limit) const
    {
        const clock_type::time_point end = clock_type::now() + limit;
        while (!std::all_of(names.begin(), names.end(),
                            [&](const std::string& name)
                            { return version(name) >= wanted; }))
        {
            if (clock_type::now() > end)
            {
                return false;
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(2));
        }
        return true;
    }

    /// Returns the cases in which a host reported a lower version than before.
    [[nodiscard]] std::vector<std::string> reversions() const
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        return reversions_;
    }

private:
    void poll(const std::string& name, const admin_caller& admin)
    {
        while (!is_stopping_)
        {
            const std::int64_t seen = admin.version();
            if (seen >= 0)
            {
                const std::lock_guard<std::mutex> lock(mutex_);
                std::int64_t& last = versions_[name];
                if (seen < last)
                {
                    reversions_.push_back(
                        fmt::format("{}: {} after {}", name, seen, last));
                }
                last = seen;
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
        }
    }

    std::atomic<bool> is_stopping_{false};
    mutable std::mutex mutex_;
    std::map<std::string, std::int64_t> versions_;
    std::vector<std::string> reversions_;
    std::vector<std::thread> threads_;
};

std::vector<std::string>
unfinished_replies(const std::vector<caller_reply>& replies)
{
    std::vector<std::string> result;
    for (const caller_reply& reply : replies)
    {
        if (reply.outcome != "done")
        {
            result.push_back(fmt::format("{} {} {} {}", reply.key,
                                         reply.outcome, reply.reason,
                                         reply.error));
        }
    }
    return result;
}

} // namespace

TEST_CASE("a plan reaches a data centre without the store, a paused host and "
          "a restarted one",
          "[plan_propagation]")
{
    const std::unique_ptr<cluster> nodes =
        make_cluster()
            .with_data_centers(3)
            .with_hosts(2)
            .with_targets(2)
            .with_proxy()
            .with_more_settings(operator_settings_text)
            .with_plan(plan_with_break())
            .build();
    const admin_caller ayu(nodes->host("a1").admin, "ayu");
    const admin_caller chai(nodes->host("a2").admin, "chai");
    const plan_draft draft = write_sections(ayu, chai);
    const version_monitor monitor(*nodes);
    REQUIRE(monitor.wait(nodes->host_names(), 1, std::chrono::seconds(30)));

    nodes->set_links({"b1-store", "b2-store"}, "drop");
    nodes->host("c1").pause();
    REQUIRE(status_of(ayu.accept(draft.digest, 1)) == 200);
    CHECK(monitor.wait({"a1", "a2", "b1", "b2", "c2"}, 2, propagation_bound));
    nodes->host("c2").kill();
    nodes->host("c2").start();
    nodes->host("c1").resume();
    CHECK(monitor.wait({"c1"}, 2, propagation_bound));
    nodes->wait_ready({"c2"});
    nodes->host("b2").kill();
    nodes->host("b2").start();
    nodes->wait_ready({"b2"});
    nodes->set_links({"b1-store", "b2-store"}, "pass");
    CHECK(monitor.wait(nodes->host_names(), 2, propagation_bound));
    INFO(nodes->log_tails());
    CHECK_THAT(monitor.reversions(), Catch::Equals(violations{}));
}

// Guards against requests that fail while the limits of a plan change.
TEST_CASE("200 plan changes under load fail no request", "[plan_propagation]")
{
    const std::unique_ptr<cluster> nodes =
        make_cluster()
            .with_data_centers(3)
            .with_hosts(2)
            .with_targets(4)
            .with_more_settings(operator_settings_text)
            .with_plan(plan_with_break())
            .build();
    const admin_caller ayu(nodes->host("a1").admin, "ayu");
    const admin_caller chai(nodes->host("b1").admin, "chai");
    (void)write_sections(ayu, chai);
    const version_monitor monitor(*nodes);
    caller calls;
    std::atomic<bool> is_stopping{false};
    std::vector<std::thread> load_threads;
    for (const std::string& name :
         {std::string("a2"), std::string("b1"), std::string("c2")})
    {
        load_threads.emplace_back(
            [&, name]
            {
                for (int n = 0; !is_stopping; ++n)
                {
                    (void)calls.submit(
                        nodes->host(name).address,
                        urgent_request(fmt::format("{}-{}", name, n)));
                    std::this_thread::sleep_for(std::chrono::milliseconds(20));
                }
            });
    }
    std::vector<std::int64_t> times;
    for (int change = 0; change < 200; ++change)
    {
        const plan_draft before = ayu.draft();
        if (status_of(ayu.edit("team.rota",
                               fmt::format("urgent_floor = 0.3\nweight = {}\n",
                                           change % 9 + 1),
                               version_of(before, "team.rota"))) != 200)
        {
            break;
        }
        const std::int64_t version = before.accepted_version + 1;
        if (status_of(ayu.accept(ayu.draft().digest, version - 1)) != 200)
        {
            break;
        }
        const clock_type::time_point start = clock_type::now();
        if (!monitor.wait(nodes->host_names(), version, propagation_bound))
        {
            break;
        }
        times.push_back(elapsed_ms(start, clock_type::now()));
    }
    is_stopping = true;
    for (std::thread& thread : load_threads)
    {
        thread.join();
    }
    INFO(nodes->log_tails());
    CHECK(times.size() == 200);
    std::sort(times.begin(), times.end());
    if (!times.empty())
    {
        WARN("propagation ms: min " << times.front() << " median "
                                    << times[times.size() / 2] << " max "
                                    << times.back() << ", requests "
                                    << calls.replies().size());
    }
    CHECK_THAT(monitor.reversions(), Catch::Equals(violations{}));
    CHECK_THAT(unfinished_replies(calls.replies()),
               Catch::Equals(violations{}));
    CHECK_THAT(check_all(nodes->record(calls)), Catch::Equals(violations{}));
}
