// Connections between the parts of a host.

#include "egretspindle/core/error.hpp"
#include "egretspindle/node/plan_limits.hpp"
#include "egretspindle/protocol/message_type.hpp"
#include "egretspindle/protocol/peer_client.hpp"

#include "node_parts.hpp"

#include <algorithm>

namespace egretspindle
{

namespace
{

// Longer than any start that an earlier coordinator can still have under way.
constexpr milliseconds settled_after{30'000};
constexpr milliseconds forward_slack{2500};

} // namespace

membership_options node::impl::make_membership_options() const
{
    membership_options options;
    options.name = config.host.name;
    options.address = config.advertise_peer;
    options.data_center = config.host.data_center;
    options.seeds = config.cluster.seeds;
    options.address_overrides = config.cluster.addresses;
    options.probe_period = milliseconds(config.timing.probe_ms);
    options.probe_timeout = milliseconds(config.timing.probe_timeout_ms);
    options.suspicion_time = milliseconds(config.timing.suspicion_ms);
    options.cross_center_period = milliseconds(config.timing.cross_probe_ms);
    return options;
}

ownership_options node::impl::make_ownership_options() const
{
    ownership_options options;
    options.name = config.host.name;
    options.data_center = config.host.data_center;
    options.row_read_period = milliseconds(config.timing.ownership_read_ms);
    options.handover_delay = milliseconds(config.timing.handover_delay_ms);
    return options;
}

rack_options node::impl::make_rack_options() const
{
    rack_options options;
    options.host_name = config.host.name;
    options.lease = milliseconds(config.timing.lease_ms);
    options.lease_margin = milliseconds(config.timing.lease_margin_ms);
    options.renew_period = milliseconds(config.timing.renew_ms);
    return options;
}

rack_hooks node::impl::make_rack_hooks()
{
    rack_hooks hooks;
    hooks.make_client = [](const std::string& address)
    {
        return make_http_target_client(address);
    };
    hooks.report_end =
        [this](const std::string& data_center, const task_report& report)
    {
        return request_routes->report_end(data_center, {report, 0});
    };
    hooks.stale_epoch = [this](const rack_id& rack)
    {
        ownership->on_stale_epoch(rack);
    };
    hooks.limits = [this]
    {
        return current_limits();
    };
    hooks.is_leaving_by_plan = [this](const std::string& target)
    {
        if (plan_operations->drains().is_drained(target))
        {
            return true;
        }
        const std::shared_ptr<const plan_in_force> plan = plans.current();
        if (!plan)
        {
            return false;
        }
        const std::vector<std::string>& names = plan->document.hosts.leaving;
        return std::find(names.begin(), names.end(), target) != names.end();
    };
    hooks.is_listed = [this](const std::string& host)
    {
        return hosts->is_entry_host_listed(host);
    };
    return hooks;
}

coordinator_options node::impl::make_coordinator_options() const
{
    coordinator_options options;
    options.host_name = config.host.name;
    options.data_center = config.host.data_center;
    options.claim_timeout = milliseconds(config.timing.claim_row_ms);
    options.store_timeout = milliseconds(config.timing.store_timeout_ms);
    options.max_inline_answer =
        static_cast<std::size_t>(config.limits.max_inline_answer);
    options.max_queued_batch =
        static_cast<std::size_t>(config.limits.max_queued_batch);
    return options;
}

coordinator_hooks node::impl::make_coordinator_hooks()
{
    coordinator_hooks hooks;
    hooks.forward_wait = [this](const std::string& host, const key_query& query)
    {
        return call_peer<request_reply>(
            *peers, members->address_of(host), message_type::wait, query,
            milliseconds(query.wait_ms) + forward_slack);
    };
    hooks.forward_ended =
        [this](const std::string& host, const task_report& report)
    {
        return call_peer<key_query>(*peers, members->address_of(host),
                                    message_type::task_ended,
                                    ended_message{report, 1}, forward_slack)
            .status();
    };
    hooks.is_alive = [this](const std::string& host)
    {
        const std::optional<member_digest> member = members->find(host);
        return host != config.host.name && member && member->state != "dead";
    };
    hooks.is_membership_stable = [this]
    {
        const time_point changed =
            members->last_change(config.host.data_center);
        return steady_clock::now() - changed > settled_after;
    };
    hooks.fits_some_target = [this](const resources& size)
    {
        return hosts->fits_some_target(size);
    };
    hooks.limits = [this]
    {
        return current_limits();
    };
    hooks.racks = [this]
    {
        return rack_routes->summaries();
    };
    hooks.is_preferred = [this](const std::string& key)
    {
        return request_routes->coordinator_of(key) == config.host.name;
    };
    return hooks;
}

ownership_callbacks node::impl::make_ownership_callbacks()
{
    ownership_callbacks callbacks;
    callbacks.acquired = [this](const owned_rack& rack)
    {
        racks->acquire(rack);
    };
    callbacks.updated = [this](const owned_rack& rack)
    {
        racks->update(rack);
    };
    callbacks.lost = [this](const rack_id& rack)
    {
        racks->release(rack);
    };
    callbacks.last_renewals = [this](const rack_id& rack)
    {
        return racks->renewals(rack);
    };
    callbacks.claim_target =
        [this](const host_entry& target,
               std::int64_t epoch) -> absl::StatusOr<fencing_token>
    {
        const absl::StatusOr<std::unique_ptr<target_client>> client =
            make_http_target_client(target.address);
        if (!client.ok())
        {
            return client.status();
        }
        return (*client)->claim({epoch, config.host.name});
    };
    return callbacks;
}

member_digest node::impl::describe_self() const
{
    member_digest digest;
    digest.plan_version = plans.version();
    for (const std::shared_ptr<rack_runtime>& runtime : racks->all())
    {
        digest.racks.push_back(runtime->summary());
    }
    return digest;
}

std::shared_ptr<const policy_limits> node::impl::current_limits()
{
    const std::int64_t version = plans.version();
    const std::lock_guard<std::mutex> lock(limits_mutex);
    if (version != limits_version)
    {
        const std::shared_ptr<const plan_in_force> plan = plans.current();
        limits = std::make_shared<const policy_limits>(
            plan ? limits_of_plan(plan->document) : policy_limits{});
        limits_version = version;
    }
    return limits;
}

} // namespace egretspindle
