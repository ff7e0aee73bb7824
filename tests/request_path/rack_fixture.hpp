/// \file
/// Fixture with a rack runtime and an in-memory target.

#ifndef EGRETSPINDLE_TESTS_REQUEST_PATH_RACK_FIXTURE_HPP
#define EGRETSPINDLE_TESTS_REQUEST_PATH_RACK_FIXTURE_HPP

#include "egretspindle/request_path/rack_runtime.hpp"

#include "../support/wait_until.hpp"
#include "fake_target_client.hpp"

#include <memory>
#include <optional>

namespace egretspindle::test
{

/// Lease that the rack runtime grants.
constexpr milliseconds lease{600};

/// Rack of one target, with short timeouts.
struct rack_fixture
{
    /// Creates and starts the runtime, as the owner after `previous_owner`; an
    /// empty name means that there was none.
    void run(const std::string& previous_owner = "")
    {
        rack_options options;
        options.host_name = "host-a";
        options.lease = lease;
        options.renew_period = milliseconds(50);
        options.lease_margin = milliseconds(100);
        options.start_window = milliseconds(300);
        options.reservation_timeout = milliseconds(300);
        options.rebuild_timeout = milliseconds(500);
        options.urgent_report_delay = milliseconds(50);
        options.report_retry_interval = milliseconds(50);
        rack_hooks hooks;
        hooks.make_client = [this](const std::string&)
            -> absl::StatusOr<std::unique_ptr<target_client>>
        {
            return std::make_unique<fake_target_client>(target);
        };
        hooks.report_end = [this](const std::string&, const task_report& report)
        {
            const std::lock_guard<std::mutex> lock(mutex);
            reports.push_back(report);
            return is_recording ? absl::OkStatus()
                                : make_error(error_kind::unavailable, "later");
        };
        hooks.stale_epoch = [this](const rack_id&)
        {
            ++stale_token_count;
        };
        hooks.limits = []
        {
            return std::make_shared<const policy_limits>();
        };
        hooks.is_leaving_by_plan = [this](const std::string&)
        {
            return is_leaving.load();
        };
        hooks.is_listed = [](const std::string&)
        {
            return true;
        };
        rack.data_center = "dc";
        rack.rack = "rack";
        rack.token.epoch = 5;
        rack.previous_owner = previous_owner;
        host_entry entry;
        entry.name = "target";
        entry.address = "127.0.0.1:1";
        entry.slots = 2;
        entry.connections = 10;
        entry.cpu_cores = 8;
        entry.memory_mb = 8000;
        rack.targets = {entry};
        runtime = std::make_unique<rack_runtime>(options, hooks, rack);
        runtime->start();
    }

    /// Returns the first report of an ended attempt that satisfies a condition,
    /// if any.
    template <typename Condition>
    std::optional<task_report> report(Condition condition)
    {
        const std::lock_guard<std::mutex> lock(mutex);
        for (const task_report& item : reports)
        {
            if (condition(item))
            {
                return item;
            }
        }
        return std::nullopt;
    }

    ~rack_fixture()
    {
        runtime.reset();
    }

    fake_target target;
    owned_rack rack;
    std::mutex mutex;
    std::vector<task_report> reports;
    bool is_recording = true; ///< whether the coordinator records the ends
    std::atomic<int> stale_token_count{0};
    std::atomic<bool> is_leaving{false};
    std::unique_ptr<rack_runtime> runtime;
};

inline place_request make_place_request(const std::string& id, int attempt = 1)
{
    place_request request;
    request.spec.id = id;
    request.spec.team = "rota";
    request.spec.kind = "draft";
    request.spec.urgent = false;
    request.spec.size = {1, 100, 0};
    request.spec.expected_ms = 10'000;
    request.attempt = attempt;
    request.rack = "rack";
    return request;
}

inline task_query make_query(const std::string& key, int attempt = 1)
{
    task_query query;
    query.key = key;
    query.attempt = attempt;
    query.target = "target";
    query.boot_id = "boot";
    return query;
}

inline bool has_ended(const task_report& report)
{
    return report.certainly_ended || report.task.state != "running";
}

} // namespace egretspindle::test

#endif
