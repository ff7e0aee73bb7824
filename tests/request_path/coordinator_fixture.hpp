/// \file
/// Fixture with coordinators on a fake store and a fake rack router.

#ifndef EGRETSPINDLE_TESTS_REQUEST_PATH_COORDINATOR_FIXTURE_HPP
#define EGRETSPINDLE_TESTS_REQUEST_PATH_COORDINATOR_FIXTURE_HPP

#include "egretspindle/request_path/coordinator.hpp"

#include "../support/wait_until.hpp"
#include "fake_router.hpp"
#include "fake_store.hpp"

#include <memory>
#include <set>
#include <string>

namespace egretspindle::test
{

constexpr milliseconds long_wait{30'000};

inline request_spec make_spec(const std::string& id)
{
    request_spec spec;
    spec.id = id;
    spec.team = "rota";
    spec.kind = "draft";
    spec.size = {1, 100, 0};
    spec.deadline_ms = long_wait.count();
    spec.body = "input";
    return spec;
}

inline request_spec make_non_idempotent(const std::string& id)
{
    request_spec spec = make_spec(id);
    spec.idempotent = false;
    return spec;
}

inline request_spec make_batch(const std::string& id)
{
    request_spec spec = make_spec(id);
    spec.urgent = false;
    spec.deadline_ms = 0;
    return spec;
}

/// Coordinator with a fake store and a fake router, which further coordinators
/// share.
struct coordinator_fixture
{
    coordinator_fixture()
    {
        first = make_coordinator("host-a");
    }

    /// Creates and starts a coordinator on the given host.
    std::unique_ptr<coordinator> make_coordinator(const std::string& name)
    {
        coordinator_options options;
        options.host_name = name;
        options.data_center = "dc";
        options.poll_interval = milliseconds(100);
        options.confirmed_poll_interval = milliseconds(100);
        coordinator_hooks hooks;
        hooks.forward_wait = [this](const std::string&, const key_query& query)
        {
            std::this_thread::sleep_for(milliseconds(1));
            const std::lock_guard<std::mutex> lock(mutex);
            ++forward_calls;
            request_reply reply = forward_reply;
            reply.key = query.key;
            return absl::StatusOr<request_reply>(reply);
        };
        hooks.forward_ended = [](const std::string&, const task_report&)
        {
            return absl::OkStatus();
        };
        hooks.is_alive = [this](const std::string& host)
        {
            const std::lock_guard<std::mutex> lock(mutex);
            return dead_hosts.count(host) == 0;
        };
        hooks.is_membership_stable = [this]
        {
            return is_membership_stable.load();
        };
        hooks.limits = []
        {
            return std::make_shared<const policy_limits>();
        };
        hooks.racks = []
        {
            rack_summary rack;
            rack.rack = "rack";
            rack.free_slots = 8;
            rack.free_cores = 32;
            rack.free_memory_mb = 100'000;
            rack.targets = 1;
            return std::vector<rack_summary>{rack};
        };
        hooks.is_preferred = [](const std::string&)
        {
            return true;
        };
        std::unique_ptr<coordinator> created =
            std::make_unique<coordinator>(options, hooks, store, router);
        created->start();
        return created;
    }

    void set_dead(const std::string& host)
    {
        const std::lock_guard<std::mutex> lock(mutex);
        dead_hosts.insert(host);
    }

    /// Sets the result that other coordinators return.
    void set_forward_result(outcome result)
    {
        const std::lock_guard<std::mutex> lock(mutex);
        forward_reply.result = result;
    }

    /// Returns the number of waits that were forwarded to other coordinators.
    int forward_count()
    {
        const std::lock_guard<std::mutex> lock(mutex);
        return forward_calls;
    }

    /// Returns a record as written by a coordinator on `host` before it died.
    request_record make_abandoned_record(const request_spec& spec,
                                         std::string_view state, int attempt,
                                         const std::string& host = "host-dead")
    {
        request_record record;
        record.digest = digest_of(spec);
        record.state = state;
        record.coordinator = host;
        record.data_center = "dc";
        record.attempt = attempt;
        record.spec = spec;
        if (state == record_state::starting)
        {
            record.target = "target";
            record.target_rack = "rack";
            record.target_data_center = "dc";
            record.boot_id = "boot";
        }
        return record;
    }

    /// Waits up to `long_wait` for the final reply of a request and returns it;
    /// a default reply after an error.
    request_reply wait_for_final_reply(coordinator& from,
                                       const std::string& key)
    {
        const absl::StatusOr<request_reply> reply =
            from.wait({key, long_wait.count()});
        return reply.ok() ? *reply : request_reply{};
    }

    std::mutex mutex;
    std::set<std::string> dead_hosts{"host-dead"};
    int forward_calls = 0;
    request_reply forward_reply; ///< reply of other coordinators
    std::atomic<bool> is_membership_stable{true};
    fake_store store;
    fake_router router;
    std::unique_ptr<coordinator> first;
};

} // namespace egretspindle::test

#endif
