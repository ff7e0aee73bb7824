#include "egretspindle/scheduler/job_scheduler.hpp"

#include "egretspindle/codec/json.hpp"
#include "egretspindle/core/error.hpp"
#include "egretspindle/fleet/locate_racks.hpp"
#include "egretspindle/jobs/job_machine.hpp"
#include "egretspindle/jobs/job_record.hpp"
#include "egretspindle/logging/log.hpp"
#include "egretspindle/net/rpc_server.hpp"
#include "egretspindle/protocol/message_router.hpp"
#include "egretspindle/protocol/peer_client.hpp"
#include "egretspindle/scheduler/cluster_agent.hpp"
#include "egretspindle/scheduler/host_metrics.hpp"
#include "egretspindle/scheduler/host_outbox.hpp"
#include "egretspindle/scheduler/load_exchange.hpp"
#include "egretspindle/scheduler/metered_store.hpp"
#include "egretspindle/scheduler/order_sender.hpp"
#include "egretspindle/scheduler/shard.hpp"
#include "egretspindle/scheduler/target_list_replica.hpp"
#include "egretspindle/scheduler/value_window.hpp"

#include "job_terms.hpp"
#include "late_delivery.hpp"

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <iterator>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <thread>

namespace egretspindle
{

namespace
{

constexpr std::string_view submit_message = "job_submit";
constexpr std::string_view query_message = "job_query";
constexpr std::string_view cancel_message = "job_cancel";
constexpr std::string_view orders_message = "rack_orders";
constexpr std::string_view reports_message = "run_reports";
constexpr std::string_view target_list_message = "target_list";
constexpr std::string_view handover_message = "rack_handover";

constexpr milliseconds tick_period{250};
// Period of the log lines about activity and queues.
constexpr milliseconds activity_period{5'000};
// Period at which `reserved_shares` is computed. It follows from the load
// reports, which arrive every 250 ms to 1 s, with 490 targets every 602 ms; see
// `report_period`.
constexpr milliseconds reservation_period{600};
constexpr milliseconds orders_timeout{1'500};
constexpr milliseconds reports_timeout{3'000};
// Replaces the default in `coordinator_limits`: the receiver of reports must
// answer within `reports_timeout`.
constexpr milliseconds max_report_wait{2'000};
// Delay before a request is forwarded again or reports are sent again.
constexpr milliseconds retry_delay{100};
// A query whose time is over still tries to read the store, for this long.
constexpr milliseconds shortest_read{50};
// Timeout of one attempt to forward a request; then the owner is looked up
// again.
constexpr milliseconds forward_timeout{1'200};
// Reports or handovers per delivery to a host.
constexpr std::size_t max_batch = 64;
// Attempts to tell the new owner of a rack about the leases on its targets.
constexpr int max_handover_attempts = 10;
// The platform allows this age for the number of jobs that wait.
constexpr milliseconds max_pending_age{2'000};
// Advice to callers when no owner answered.
constexpr std::int64_t unavailable_retry_ms = 1'000;

std::string shard_resource(const std::string& id)
{
    return std::string(shard_prefix) + shard_of(id);
}

std::string rack_resource(const std::string& rack)
{
    return std::string(rack_prefix) + rack;
}

/// How a request of a caller was forwarded, for logs and metrics.
struct request_trace
{
    bool was_forwarded = false;     ///< an owner may have received it
    std::string owner;              ///< host of the last attempt
    std::int64_t owner_version = 0; ///< fencing token of that owner
    int attempts = 0;               ///< attempts with a known owner
};

/// Time limits of a request of a caller.
struct request_limits
{
    time_point forward_until; ///< then the caller's host reads the record
    time_point reply_by;      ///< when the caller must have the reply
};

/// Release of a rack that this host has given up while it leaves.
struct kept_release
{
    rack_handover handover;
    time_point given_up_at;
};

/// Message to the new owner of a rack.
struct pending_handover
{
    rack_handover handover;
    int attempts = 0; ///< failed so far
};

std::int64_t remaining_ms(time_point deadline)
{
    return elapsed_ms(steady_clock::now(), deadline);
}

} // namespace

struct job_scheduler::impl
{
    impl(table_store& rows, target_port& port, scheduler_options settings);

    job_reply forward_request(std::string_view message, job_request request,
                              const request_limits& limits,
                              request_trace& trace);
    void count_submission(const submit_answer& answer,
                          const request_trace& trace);
    void count_lookup(const std::string& id, std::string_view verdict,
                      const request_trace& trace, time_point begun_at);
    job_reply handle_request(std::string_view message,
                             const job_request& request, time_point reply_by);
    std::optional<job_answer> read_state(const std::string& id,
                                         milliseconds timeout);
    absl::StatusOr<std::optional<job>> read_job(const std::string& id,
                                                milliseconds timeout);
    std::optional<run_racks> read_assignments(const std::string& id);
    order_sender_hooks make_order_hooks();
    void deliver_handovers(const std::string& host,
                           std::vector<pending_handover>& items);
    void post_reports(std::vector<run_report> reports);
    void deliver_reports(const std::string& host,
                         std::vector<run_report> reports, milliseconds waited);
    void apply_peer_load(const load_message& message);
    void apply_own_load(std::vector<rack_load_report> load_reports,
                        time_point measured_at);
    void send_load(const std::vector<load_message>& messages,
                   time_point measured_at,
                   const std::vector<std::string>& peers);
    void add_handlers();
    void tick_loop();
    [[nodiscard]] std::map<std::string, std::int64_t> count_pending() const;
    void record_pending();
    void share_load();
    void on_taken(const std::string& resource, std::int64_t token,
                  const former_ownership& former,
                  const clock_reading& confirmed_at);
    void on_lost(const std::string& resource);
    std::optional<rack_handover> give_up_rack(const std::string& rack);
    void forget_release(const rack_handover& handover);
    [[nodiscard]] time_point
    former_stop_time(const former_ownership& former) const;
    job_coordinator_hooks make_coordinator_hooks();
    rack_agent_hooks make_rack_hooks();
    cluster_hooks make_cluster_hooks();

    scheduler_options options;
    time_point started_at = steady_clock::now();
    std::int64_t boot = unix_ms(); ///< start time; identifies this process
    std::shared_ptr<metric_registry> registry =
        std::make_shared<metric_registry>();
    host_metrics metrics{*registry};
    metered_store store;

    mutable std::mutex config_mutex;
    std::shared_ptr<const fleet_config> config =
        std::make_shared<const fleet_config>();

    std::mutex load_mutex;
    fleet_load load;
    std::minstd_rand random{std::random_device{}()};
    // Used only by the thread of `tick_loop`.
    peer_turns report_turns;
    send_schedule pair_schedule;
    send_schedule reservation_schedule;
    pair_outbox sent_pair_log; ///< learned pairs sent to the other hosts
    time_point activity_logged_at;
    std::atomic<bool> has_targets{false};
    std::atomic<bool> is_leaving{false};
    /// Another host has started since pairs were last selected for sending.
    std::atomic<bool> has_new_peer{false};

    job_coordinator coordinator;
    rack_agent racks;
    cluster_agent agent;
    order_sender rack_sender;
    host_outbox<run_report> reports_outbox;
    host_outbox<pending_handover> handovers_outbox;
    message_router router;
    std::unique_ptr<rpc_client> client;
    std::unique_ptr<rpc_server> server;
    std::unique_ptr<load_exchange> load_exchanger;
    /// Set once, by `follow_targets`; other hosts may ask before.
    std::atomic<target_list_replica*> target_list{nullptr};
    std::unique_ptr<target_list_replica> target_list_owner;

    mutable std::mutex release_mutex;
    /// By rack, from `leave` on until they are delivered.
    std::map<std::string, kept_release> releases;
    int given_up = 0; ///< racks since `leave`
    /// The store has the releases of `given_up` racks, except delivered ones.
    std::optional<int> recorded;

    std::mutex pending_mutex;
    /// Numbers of jobs that have not started, by queue.
    std::map<std::string, value_window> pending_windows;

    std::mutex tick_mutex;
    std::condition_variable tick_wake;
    bool is_stopping = false;
    std::thread tick_thread;
};

job_scheduler::impl::impl(table_store& rows, target_port& port,
                          scheduler_options settings)
    : options(std::move(settings)), store(rows, *registry),
      coordinator(store, make_coordinator_hooks(), options.coordinator),
      racks(port, make_rack_hooks(), options.racks),
      agent(
          store,
          host_row{options.host,
                   boot,
                   to_string(endpoint{options.peer_address, options.peer_port}),
                   options.data_center,
                   false,
                   0,
                   {},
                   options.weight},
          make_cluster_hooks(), liveness_limits{},
          options.coordinator.may_span_parts),
      rack_sender(make_order_hooks(), metrics),
      reports_outbox(max_batch,
                     [this](const std::string& host,
                            std::vector<run_report>& items, milliseconds waited)
                     { deliver_reports(host, std::move(items), waited); }),
      handovers_outbox(max_batch, [this](const std::string& host,
                                         std::vector<pending_handover>& items,
                                         milliseconds /*waited*/)
                       { deliver_handovers(host, items); })
{
}

job_coordinator_hooks job_scheduler::impl::make_coordinator_hooks()
{
    job_coordinator_hooks hooks;
    hooks.config = [this]
    {
        const std::lock_guard<std::mutex> lock(config_mutex);
        return config;
    };
    hooks.choose_racks = [this](const step_terms& terms, std::size_t count,
                                const std::string& data_rack)
    {
        const std::lock_guard<std::mutex> lock(load_mutex);
        return choose_racks(load, terms, count, data_rack, steady_clock::now(),
                            random);
    };
    hooks.has_room_for_long_running =
        [this](const step_terms& terms, std::size_t count)
    {
        const std::lock_guard<std::mutex> lock(load_mutex);
        return has_room_for_long_running(load, terms.service,
                                         terms.size.cpu_milli *
                                             static_cast<std::int64_t>(count),
                                         steady_clock::now());
    };
    hooks.summarize_rack_loads = [this](const std::vector<std::string>& names)
    {
        const std::lock_guard<std::mutex> lock(load_mutex);
        return summarize_rack_loads(load, names, steady_clock::now());
    };
    hooks.summarize_service_load = [this](const std::string& service)
    {
        const std::lock_guard<std::mutex> lock(load_mutex);
        return summarize_service_load(load, service, steady_clock::now());
    };
    hooks.metrics = registry;
    hooks.rack_token = [this](const std::string& rack) -> std::int64_t
    {
        const std::optional<owner_location> owner =
            agent.owner_of(rack_resource(rack));
        return owner ? owner->token : 0;
    };
    hooks.is_shard_confirmed =
        [this](const std::string& shard, std::int64_t token)
    {
        return agent.is_confirmed(std::string(shard_prefix) + shard, token);
    };
    hooks.on_shard_lost = [this](const std::string& shard)
    {
        const std::string resource = std::string(shard_prefix) + shard;
        const std::optional<owner_location> owner = agent.owner_of(resource);
        if (owner && owner->is_self)
        {
            agent.report_newer_token(resource, owner->token);
        }
    };
    hooks.send = [this](rack_orders items)
    {
        rack_sender.post(std::move(items));
    };
    hooks.is_in_delivery =
        [this](const std::string& rack, time_point collected_at)
    {
        return rack_sender.is_in_delivery(rack, collected_at);
    };
    return hooks;
}

rack_agent_hooks job_scheduler::impl::make_rack_hooks()
{
    rack_agent_hooks hooks;
    hooks.metrics = registry;
    hooks.report = [this](std::vector<run_report> reports)
    {
        post_reports(std::move(reports));
    };
    hooks.lost = [this](const std::string& rack)
    {
        const std::optional<owner_location> owner =
            agent.owner_of(rack_resource(rack));
        if (owner && owner->is_self)
        {
            agent.report_newer_token(rack_resource(rack), owner->token);
        }
    };
    hooks.hand_back_quota =
        [this](const step_terms& terms, const std::string& rack, room_kind room)
    {
        const std::lock_guard<std::mutex> lock(load_mutex);
        return hand_back_quota(load, terms, rack, steady_clock::now(), random,
                               room);
    };
    hooks.has_eventual_room = [this](const step_terms& terms)
    {
        const std::lock_guard<std::mutex> lock(load_mutex);
        return has_eventual_room(load, terms, steady_clock::now());
    };
    hooks.read_assignments = [this](const std::string& job)
    {
        return read_assignments(job);
    };
    hooks.record_roster = [this](const std::string& rack, std::int64_t token,
                                 const rack_roster& roster)
    {
        return agent.has_store_contact() &&
               agent.record_roster(rack, token, roster);
    };
    hooks.read_intents = [this](const std::string& rack)
    {
        return read_intents(store, rack, options.coordinator.read_timeout,
                            options.coordinator.may_span_parts);
    };
    hooks.write_intents = [this](const std::string& rack, std::int64_t token,
                                 const intent_record& record)
    {
        return write_intents(store, rack, token, record,
                             options.coordinator.commit_timeout,
                             options.coordinator.may_span_parts);
    };
    return hooks;
}

cluster_hooks job_scheduler::impl::make_cluster_hooks()
{
    cluster_hooks hooks;
    hooks.taken = [this](const std::string& resource, std::int64_t token,
                         const former_ownership& former,
                         const clock_reading& confirmed_at)
    {
        on_taken(resource, token, former, confirmed_at);
    };
    hooks.lost = [this](const std::string& resource)
    {
        on_lost(resource);
    };
    hooks.verified = [this](const std::string& resource, std::int64_t token,
                            const clock_reading& read_at)
    {
        if (resource.compare(0, rack_prefix.size(), rack_prefix) == 0)
        {
            racks.verify_rack(resource.substr(rack_prefix.size()), token,
                              read_at);
        }
    };
    hooks.released = [this](const rack_handover& handover)
    {
        racks.apply_handover(handover);
    };
    hooks.pending = [this]
    {
        return coordinator.pending();
    };
    hooks.unmovable = [this]
    {
        std::vector<std::string> names = racks.concluding_racks();
        for (std::string& name : names)
        {
            name.insert(0, rack_prefix);
        }
        return names;
    };
    return hooks;
}

// --- ownership -------------------------------------------------------------

// Returns the time after which a former owner grants no more leases. Another
// host may still be running although it is cut off from the store; it then
// grants leases for up to `lease_limits::authority` after its last heartbeat.
time_point
job_scheduler::impl::former_stop_time(const former_ownership& former) const
{
    switch (former.kind)
    {
    case former_owner::restart:
        return started_at;
    case former_owner::other:
        if (former.ended_at)
        {
            return *former.ended_at;
        }
        return former.last_heartbeat.value_or(steady_clock::now()) +
               options.racks.lease.authority;
    case former_owner::none:
        break;
    }
    return steady_clock::now();
}

void job_scheduler::impl::on_taken(const std::string& resource,
                                   std::int64_t token,
                                   const former_ownership& former,
                                   const clock_reading& confirmed_at)
{
    const std::size_t slash = resource.find('/');
    const std::string name = resource.substr(slash + 1);
    const bool is_shard = resource.compare(0, slash, "shard") == 0;
    metrics.count_taken(is_shard ? resource_kind::shard : resource_kind::rack,
                        former.kind);
    if (is_shard)
    {
        coordinator.take_shard(name, token);
        return;
    }
    rack_takeover takeover;
    takeover.rack = name;
    takeover.token = token;
    takeover.former_token = former.token;
    takeover.former_stopped_at = former_stop_time(former);
    takeover.confirmed_at = confirmed_at;
    takeover.roster = agent.roster_of(name);
    racks.take_rack(takeover);
}

void job_scheduler::impl::on_lost(const std::string& resource)
{
    const std::size_t slash = resource.find('/');
    const std::string name = resource.substr(slash + 1);
    const bool is_shard = resource.compare(0, slash, "shard") == 0;
    metrics.count_lost(is_shard ? resource_kind::shard : resource_kind::rack);
    if (is_shard)
    {
        coordinator.drop_shard(name);
        return;
    }
    const std::optional<rack_handover> handover = give_up_rack(name);
    const std::optional<owner_location> owner = agent.owner_of(resource);
    if (handover && owner && !owner->is_self)
    {
        handovers_outbox.post(owner->host, {*handover});
    }
}

// Drops a rack, and keeps its release if this host leaves.
std::optional<rack_handover>
job_scheduler::impl::give_up_rack(const std::string& rack)
{
    const std::lock_guard<std::mutex> lock(release_mutex);
    std::optional<rack_handover> handover = racks.drop_rack(rack);
    if (handover && is_leaving)
    {
        releases[rack] = {*handover, steady_clock::now()};
        ++given_up;
    }
    return handover;
}

void job_scheduler::impl::forget_release(const rack_handover& handover)
{
    const std::lock_guard<std::mutex> lock(release_mutex);
    const auto it = releases.find(handover.rack);
    if (it != releases.end() && it->second.handover.token == handover.token)
    {
        releases.erase(it);
    }
}

// Delivers releases to the present owners of their racks. They are repeated a
// few times: a new owner may not know of its claim yet.
void job_scheduler::impl::deliver_handovers(
    const std::string& host, std::vector<pending_handover>& items)
{
    for (pending_handover& item : items)
    {
        const std::optional<owner_location> owner =
            agent.owner_of(rack_resource(item.handover.rack));
        if (!owner || owner->host != host || owner->is_self)
        {
            continue; // a later owner does not wait for leases of this host
        }
        const absl::StatusOr<rack_handover_reply> reply =
            call_peer<rack_handover_reply>(*client, owner->peer,
                                           handover_message, item.handover,
                                           orders_timeout);
        if (reply.ok() && reply->is_owner)
        {
            forget_release(item.handover);
            continue;
        }
        const bool is_last = ++item.attempts >= max_handover_attempts;
        log_info(
            "handover of a rack was not applied",
            {{"rack", item.handover.rack},
             {"host", host},
             {"owner_version", item.handover.token},
             {"attempts", item.attempts},
             {"error", reply.ok() ? std::string("not the owner yet")
                                  : std::string(reply.status().message())}});
        if (!is_last)
        {
            std::this_thread::sleep_for(retry_delay);
            handovers_outbox.post(host, std::move(item));
        }
    }
}

// --- requests of callers ---------------------------------------------------

// Handles a request as the owner of the job's shard. Waits for the shard for
// `job_request::budget_ms`, and for the store until `reply_by`, which is not
// earlier.
job_reply job_scheduler::impl::handle_request(std::string_view message,
                                              const job_request& request,
                                              time_point reply_by)
{
    if (message == submit_message)
    {
        return coordinator.submit(request);
    }
    return message == query_message ? coordinator.query(request, reply_by)
                                    : coordinator.cancel(request);
}

// Forwards a request to the owner of the job's shard, and repeats this until an
// owner answers or the time to forward it is over. Only a submission is
// repeated after the reply `unknown`. The reply `refused` becomes `unknown` if
// an earlier attempt may have stored the job.
job_reply job_scheduler::impl::forward_request(std::string_view message,
                                               job_request request,
                                               const request_limits& limits,
                                               request_trace& trace)
{
    job_reply last{"unknown", "", unavailable_retry_ms};
    const std::string resource = shard_resource(request.id);
    bool may_be_stored = false;
    for (;;)
    {
        const std::int64_t remaining = remaining_ms(limits.forward_until);
        if (remaining <= 0)
        {
            return last;
        }
        const std::optional<owner_location> owner = agent.owner_of(resource);
        if (owner)
        {
            ++trace.attempts;
            trace.owner = owner->host;
            trace.owner_version = owner->token;
        }
        if (owner && owner->is_self)
        {
            request.budget_ms = remaining;
            trace.was_forwarded = true;
            last = handle_request(message, request, limits.reply_by);
        }
        else if (owner)
        {
            const std::int64_t budget =
                std::min<std::int64_t>(remaining, forward_timeout.count());
            // Nine tenths of the time, so that the reply arrives before the
            // timeout.
            request.budget_ms = budget * 9 / 10;
            const absl::StatusOr<job_reply> reply = call_peer<job_reply>(
                *client, owner->peer, message, request, milliseconds(budget));
            trace.was_forwarded |= reply.ok() || kind_of(reply.status()) !=
                                                     error_kind::unavailable;
            last = reply.ok() ? *reply
                              : job_reply{"unknown", "", unavailable_retry_ms};
        }
        if (last.verdict == "refused" && may_be_stored)
        {
            // An earlier owner that did not answer may have stored the job.
            last.verdict = "unknown";
            return last;
        }
        if (last.verdict != "not_owner" && last.verdict != "unknown")
        {
            return last;
        }
        may_be_stored |= trace.was_forwarded && last.verdict == "unknown";
        if (last.verdict == "unknown" && message != submit_message)
        {
            return last; // the caller reads the record instead
        }
        agent.refresh();
        last.verdict = "unknown";
        std::this_thread::sleep_for(retry_delay);
    }
}

void job_scheduler::impl::count_submission(const submit_answer& answer,
                                           const request_trace& trace)
{
    switch (answer.verdict)
    {
    case submit_verdict::accepted:
        metrics.accepted.add();
        break;
    case submit_verdict::refused:
        (trace.was_forwarded ? metrics.refused : metrics.no_owner).add();
        break;
    case submit_verdict::unknown:
        metrics.unknown.add();
        break;
    }
}

void job_scheduler::impl::count_lookup(const std::string& id,
                                       std::string_view verdict,
                                       const request_trace& trace,
                                       time_point begun_at)
{
    (verdict == "absent" ? metrics.lookups_absent : metrics.lookups_unknown)
        .add();
    log_info("job not found",
             {{"job", id},
              {"verdict", verdict},
              {"passed_on", trace.was_forwarded},
              {"owner", trace.owner},
              {"owner_version", trace.owner_version},
              {"took_ms", elapsed_ms(begun_at, steady_clock::now())}});
}

// Reads a job from the store; no value when it has no record.
absl::StatusOr<std::optional<job>>
job_scheduler::impl::read_job(const std::string& id, milliseconds timeout)
{
    row_range range;
    range.table = std::string(jobs_table);
    range.part = shard_of(id);
    range.from = id;
    range.limit = 1;
    const absl::StatusOr<table_page> page = store.read(range, timeout);
    if (!page.ok())
    {
        return page.status();
    }
    if (page->rows.empty() || page->rows.front().key != id)
    {
        return std::optional<job>();
    }
    absl::StatusOr<job> value = decode_job(id, page->rows.front().value);
    if (!value.ok())
    {
        log_error(
            "failed to decode job record",
            {{"job", id}, {"error", std::string(value.status().message())}});
        return value.status();
    }
    return std::optional<job>(*std::move(value));
}

// Returns the state of a job from the store; no value if it cannot be read.
std::optional<job_answer> job_scheduler::impl::read_state(const std::string& id,
                                                          milliseconds timeout)
{
    const absl::StatusOr<std::optional<job>> value = read_job(id, timeout);
    if (!value.ok())
    {
        return std::nullopt;
    }
    if (!*value)
    {
        return job_answer{lookup_verdict::absent, ""};
    }
    return job_answer{lookup_verdict::known, std::string(state_name(**value))};
}

// Returns the rack of each assigned run of a job, from the store; empty if the
// job is not open, no value if it cannot be read.
std::optional<run_racks>
job_scheduler::impl::read_assignments(const std::string& id)
{
    const absl::StatusOr<std::optional<job>> value =
        read_job(id, options.coordinator.read_timeout);
    if (!value.ok())
    {
        return std::nullopt;
    }
    run_racks assigned;
    if (*value && (*value)->outcome == job_outcome::open)
    {
        for (const assigned_run& run : assigned_runs(**value))
        {
            assigned[{to_string(run.key), run.run}] = run.rack;
        }
    }
    return assigned;
}

// --- messages --------------------------------------------------------------

order_sender_hooks job_scheduler::impl::make_order_hooks()
{
    order_sender_hooks hooks;
    hooks.owner_of = [this](const std::string& rack)
    {
        return agent.owner_of(rack_resource(rack));
    };
    hooks.refresh = [this]
    {
        agent.refresh();
    };
    hooks.execute = [this](const rack_orders& items)
    {
        return racks.execute(items);
    };
    hooks.call = [this](const owner_location& owner, const rack_orders& items)
    {
        return call_peer<rack_orders_reply>(*client, owner.peer, orders_message,
                                            items, orders_timeout);
    };
    hooks.remove_outdated_starts = [this](rack_orders& items)
    {
        coordinator.remove_outdated_starts(items);
    };
    hooks.mark_undelivered = [this](const rack_orders& items)
    {
        coordinator.mark_undelivered(items);
    };
    hooks.confirm =
        [this](const rack_orders& items, const rack_orders_reply& reply)
    {
        coordinator.confirm(items, reply);
    };
    return hooks;
}

// Queues reports for the hosts that own the shards of their jobs. The name of
// the host is empty if there is no known owner.
void job_scheduler::impl::post_reports(std::vector<run_report> reports)
{
    for (run_report& report : reports)
    {
        const std::size_t dot = report.task.find('.');
        const std::optional<owner_location> owner =
            agent.owner_of(shard_resource(report.task.substr(0, dot)));
        reports_outbox.post(owner ? owner->host : std::string(),
                            std::move(report));
    }
}

// Delivers reports that were queued for a host. Those that it did not record
// are queued again, also when the owner of the shard has changed.
void job_scheduler::impl::deliver_reports(const std::string& host,
                                          std::vector<run_report> reports,
                                          milliseconds waited)
{
    log_late_delivery("run reports were sent late", host, reports.size(),
                      reports.front().task, waited);
    report_batch batch{std::move(reports)};
    const std::size_t dot = batch.reports.front().task.find('.');
    const std::optional<owner_location> owner = agent.owner_of(
        shard_resource(batch.reports.front().task.substr(0, dot)));
    absl::StatusOr<report_reply> reply = make_error(
        error_kind::unavailable, "the shard has no known owner; retry later");
    if (owner && owner->host == host && owner->is_self)
    {
        reply = coordinator.report(batch);
    }
    else if (owner && owner->host == host)
    {
        const time_point sent_at = steady_clock::now();
        reply = call_peer<report_reply>(*client, owner->peer, reports_message,
                                        batch, reports_timeout);
        metrics.observe_reports(reply.ok(), steady_clock::now() - sent_at);
    }
    std::vector<run_report> unrecorded;
    if (!reply.ok())
    {
        log_warning("run reports were not recorded",
                    {{"host", host},
                     {"first_task", batch.reports.front().task},
                     {"reports", batch.reports.size()},
                     {"error", std::string(reply.status().message())}});
        unrecorded = std::move(batch.reports);
    }
    else
    {
        racks.apply_verdicts(batch.reports, *reply);
        for (std::size_t n = 0; n < batch.reports.size(); ++n)
        {
            if (n >= reply->verdicts.size() ||
                reply->verdicts[n].verdict == "retry")
            {
                unrecorded.push_back(std::move(batch.reports[n]));
            }
        }
    }
    if (!unrecorded.empty())
    {
        agent.refresh();
        std::this_thread::sleep_for(retry_delay);
        post_reports(std::move(unrecorded));
    }
}

void job_scheduler::impl::add_handlers()
{
    for (const std::string_view message :
         {submit_message, query_message, cancel_message})
    {
        router.on<job_request, job_reply>(
            message,
            [this,
             message](const std::string& /*sender*/,
                      const job_request& request) -> absl::StatusOr<job_reply>
            {
                return handle_request(message, request,
                                      steady_clock::now() +
                                          milliseconds(request.budget_ms));
            });
    }
    router.on<rack_orders, rack_orders_reply>(
        orders_message,
        [this](const std::string& /*sender*/,
               const rack_orders& orders) -> absl::StatusOr<rack_orders_reply>
        { return racks.execute(orders); });
    router.on<report_batch, report_reply>(
        reports_message,
        [this](const std::string& /*sender*/,
               const report_batch& batch) -> absl::StatusOr<report_reply>
        { return coordinator.report(batch); });
    router.on<rack_handover, rack_handover_reply>(
        handover_message,
        [this](const std::string& /*sender*/, const rack_handover& handover)
            -> absl::StatusOr<rack_handover_reply>
        { return racks.apply_handover(handover); });
    router.on<target_list_request, target_list_reply>(
        target_list_message,
        [this](const std::string& /*sender*/,
               const target_list_request& request)
            -> absl::StatusOr<target_list_reply>
        {
            target_list_replica* list = target_list;
            return list == nullptr ? target_list_reply{}
                                   : list->answer(request);
        });
}

// --- load ------------------------------------------------------------------

// Applies a load message of another host.
void job_scheduler::impl::apply_peer_load(const load_message& message)
{
    const milliseconds age = age_of(message);
    agent.record_store_contact(message.host, !message.is_without_store, age);
    std::vector<rack_load_report> load_reports = load_reports_of(message);
    const std::vector<pair_interference> pairs = pairs_of(message);
    if (!pairs.empty())
    {
        racks.update_peer_interference(message.host, message.boot, pairs);
    }
    const std::lock_guard<std::mutex> lock(load_mutex);
    apply_load_reports(load, load_reports, steady_clock::now() - age);
    if (update_host_boot(load, message.host, message.boot))
    {
        has_new_peer = true;
    }
}

// Applies the load of this host's racks to its own view of the fleet.
void job_scheduler::impl::apply_own_load(
    std::vector<rack_load_report> load_reports, time_point measured_at)
{
    std::optional<interference_model> changed_model =
        racks.copy_changed_model();
    std::optional<std::map<std::string, double>> shares;
    std::set<std::string> lightly_used;
    {
        const std::lock_guard<std::mutex> lock(load_mutex);
        const time_point now = steady_clock::now();
        apply_load_reports(load, load_reports, measured_at);
        if (advance_if_due(reservation_schedule, reservation_period, now))
        {
            shares = reserved_shares(load, now);
            lightly_used = lightly_used_services(load, now);
        }
        if (changed_model)
        {
            std::swap(load.interference, *changed_model);
        }
    }
    // Called without `load_mutex`, since elsewhere the lock of the racks is
    // taken first.
    if (shares)
    {
        racks.set_reserved_shares(*std::move(shares));
        racks.set_lightly_used(std::move(lightly_used));
    }
}

void job_scheduler::impl::send_load(const std::vector<load_message>& messages,
                                    time_point measured_at,
                                    const std::vector<std::string>& peers)
{
    for (const std::size_t bytes :
         load_exchanger->send(messages, measured_at, peers))
    {
        count_datagram(racks.activity().reports_out, bytes * peers.size());
    }
}

// Returns the number of jobs of all hosts that have not started, by queue.
std::map<std::string, std::int64_t> job_scheduler::impl::count_pending() const
{
    std::map<std::string, std::int64_t> counts = coordinator.pending();
    for (const auto& [queue, count] : agent.pending_elsewhere())
    {
        counts[queue] += count;
    }
    return counts;
}

// Remembers how many jobs of each queue wait: while a shard moves, no host
// counts its jobs.
void job_scheduler::impl::record_pending()
{
    const std::map<std::string, std::int64_t> counts = count_pending();
    const time_point now = steady_clock::now();
    const std::lock_guard<std::mutex> lock(pending_mutex);
    for (const auto& [queue, count] : counts)
    {
        add_value(pending_windows[queue], count, max_pending_age, now);
    }
    for (auto it = pending_windows.begin(); it != pending_windows.end();)
    {
        const bool is_old = max_value(it->second, max_pending_age, now) == 0 &&
                            counts.count(it->first) == 0;
        it = is_old ? pending_windows.erase(it) : std::next(it);
    }
}

// Measures the load of this host's racks, and sends reports and learned pairs
// to the other hosts as far as they are due.
void job_scheduler::impl::share_load()
{
    const time_point measured_at = steady_clock::now();
    const std::vector<rack_load_report> load_reports = racks.measure();
    apply_own_load(load_reports, measured_at);
    const std::vector<std::string> peers = agent.peers();
    fleet_size size;
    size.peers = peers.size();
    {
        const std::lock_guard<std::mutex> lock(load_mutex);
        size.targets = load.targets.size();
        load.period = report_period(size);
        load.hosts = size.peers + 1;
    }
    const time_point now = steady_clock::now();
    // Others count on a host that leaves to grant no leases when the time after
    // its last heartbeat is over.
    const boot_time_point checked_at = boot_clock::now();
    if (!is_leaving && agent.is_outage())
    {
        racks.extend_authority(checked_at);
    }
    // Receivers take a message that does not say so for one of a host that
    // reaches the store.
    const bool is_without_store = agent.is_without_store();
    const std::vector<std::string> due_peers =
        take_due_peers(report_turns, peers, report_period(size), now);
    if (!due_peers.empty())
    {
        std::vector<load_message> messages =
            load_report_messages(options.host, boot, load_reports);
        if (is_without_store && messages.empty())
        {
            messages.emplace_back();
            messages.front().host = options.host;
            messages.front().boot = boot;
        }
        for (load_message& message : messages)
        {
            message.is_without_store = is_without_store;
        }
        send_load(messages, measured_at, due_peers);
    }
    if (advance_if_due(pair_schedule, pair_period(size), now))
    {
        if (has_new_peer.exchange(false))
        {
            mark_all_due(sent_pair_log);
        }
        const std::vector<pair_interference> pairs =
            racks.select_due_pairs(sent_pair_log);
        if (!pairs.empty())
        {
            load_message message = pair_message(options.host, boot, pairs);
            message.is_without_store = is_without_store;
            send_load({message}, measured_at, peers);
        }
    }
    if (elapsed(activity_logged_at) >= activity_period)
    {
        activity_logged_at = steady_clock::now();
        queue_lengths queues;
        queues.racks = load_reports.size();
        for (const rack_load_report& load_report : load_reports)
        {
            queues.queued_starts += load_report.queued;
        }
        queues.writes = coordinator.unwritten();
        queues.orders = rack_sender.backlog();
        queues.reports = reports_outbox.backlog();
        log_activity(racks.activity(), queues);
        racks.log_queues();
        metrics.has_store_contact.set(agent.has_store_contact() ? 1 : 0);
    }
}

void job_scheduler::impl::tick_loop()
{
    for (;;)
    {
        const time_point begun_at = steady_clock::now();
        racks.tick();
        share_load();
        coordinator.tick();
        record_pending();
        std::atomic<std::int64_t>& longest = racks.activity().longest_tick_ms;
        longest = std::max(longest.load(), elapsed(begun_at).count());
        metrics.tick.observe(
            fractional_ms(steady_clock::now() - begun_at).count());
        std::unique_lock<std::mutex> lock(tick_mutex);
        if (tick_wake.wait_for(lock, tick_period,
                               [this] { return is_stopping; }))
        {
            return;
        }
    }
}

// --- public interface ------------------------------------------------------

job_scheduler::job_scheduler(table_store& store, target_port& targets,
                             scheduler_options options)
{
    options.coordinator.max_report_wait = max_report_wait;
    impl_ = std::make_unique<impl>(store, targets, std::move(options));
}

job_scheduler::~job_scheduler()
{
    stop();
}

absl::Status job_scheduler::start()
{
    const std::string key = impl_->agent.shared_key();
    redact_in_logs(key);
    impl_->add_handlers();
    impl_->client = std::make_unique<rpc_client>(key, impl_->options.host);
    impl_->server = std::make_unique<rpc_server>(
        key, [this](const std::string& type, const std::string& sender,
                    const std::string& payload)
        { return impl_->router.dispatch(type, sender, payload); });
    absl::Status status = impl_->server->start(impl_->options.peer_address,
                                               impl_->options.peer_port);
    if (!status.ok())
    {
        return status;
    }
    impl_->load_exchanger = std::make_unique<load_exchange>(
        key,
        [this](const load_message& message, std::size_t bytes)
        {
            count_datagram(impl_->racks.activity().reports_in, bytes);
            impl_->apply_peer_load(message);
        });
    status = impl_->load_exchanger->start(impl_->options.peer_address,
                                          impl_->options.peer_port);
    if (!status.ok())
    {
        return status;
    }
    impl_->agent.start();
    impl_->tick_thread = std::thread([this] { impl_->tick_loop(); });
    log_info("scheduler started", {{"host", impl_->options.host},
                                   {"data_center", impl_->options.data_center},
                                   {"boot", impl_->boot}});
    return absl::OkStatus();
}

void job_scheduler::leave()
{
    impl_->is_leaving = true;
    impl_->agent.leave();
    log_info("leaving", {{"host", impl_->options.host}});
}

stop_progress job_scheduler::progress_of_stop() const
{
    // A resource is counted here until its release is in the outbox.
    stop_progress progress = impl_->agent.progress_of_stop();
    progress.undelivered = impl_->handovers_outbox.size();
    const std::lock_guard<std::mutex> lock(impl_->release_mutex);
    progress.is_released = impl_->recorded == impl_->given_up;
    return progress;
}

void job_scheduler::release_racks(milliseconds timeout)
{
    for (const std::string& rack : impl_->agent.owned_racks())
    {
        impl_->give_up_rack(rack);
    }
    std::vector<rack_handover> releases;
    int given_up = 0;
    {
        const std::lock_guard<std::mutex> lock(impl_->release_mutex);
        given_up = impl_->given_up;
        for (const auto& [rack, release] : impl_->releases)
        {
            releases.push_back(
                age_handover(release.handover, elapsed(release.given_up_at)));
        }
    }
    const bool is_recorded = impl_->agent.record_releases(releases, timeout);
    log_info("releases of racks",
             {{"count", releases.size()}, {"committed", is_recorded}});
    if (is_recorded)
    {
        const std::lock_guard<std::mutex> lock(impl_->release_mutex);
        impl_->recorded = given_up;
    }
}

void job_scheduler::stop()
{
    {
        const std::lock_guard<std::mutex> lock(impl_->tick_mutex);
        if (impl_->is_stopping)
        {
            return;
        }
        impl_->is_stopping = true;
        impl_->tick_wake.notify_all();
    }
    if (impl_->tick_thread.joinable())
    {
        impl_->tick_thread.join();
    }
    if (impl_->target_list_owner)
    {
        impl_->target_list_owner->stop();
    }
    impl_->agent.stop();
    impl_->coordinator.stop();
    impl_->racks.stop();
    impl_->rack_sender.stop();
    impl_->reports_outbox.stop();
    impl_->handovers_outbox.stop();
    if (impl_->server)
    {
        impl_->server->stop();
    }
    if (impl_->load_exchanger)
    {
        impl_->load_exchanger->stop();
    }
    log_info("scheduler stopped", {{"host", impl_->options.host}});
}

void job_scheduler::set_config(fleet_config config)
{
    const std::lock_guard<std::mutex> lock(impl_->config_mutex);
    if (config.version <= impl_->config->version)
    {
        return;
    }
    log_info("applied configuration",
             {{"version", config.version},
              {"former_version", impl_->config->version},
              {"queues", config.queues.size()}});
    impl_->metrics.config_version.set(static_cast<double>(config.version));
    impl_->config = std::make_shared<const fleet_config>(std::move(config));
}

std::shared_ptr<const fleet_config> job_scheduler::config() const
{
    const std::lock_guard<std::mutex> lock(impl_->config_mutex);
    return impl_->config;
}

void job_scheduler::follow_targets(
    std::string table, milliseconds pause,
    std::function<const std::map<std::string, target_entry>&(const row_map&)>
        decode)
{
    target_list_hooks hooks;
    hooks.decode = std::move(decode);
    hooks.sources = [this]
    {
        return impl_->agent.list_readers();
    };
    hooks.call = [this](const std::string& peer,
                        const target_list_request& request,
                        milliseconds timeout)
    {
        return call_peer<target_list_reply>(
            *impl_->client, peer, target_list_message, request, timeout);
    };
    hooks.on_change = [this](const std::map<std::string, target_entry>& entries)
    {
        set_targets(entries);
    };
    impl_->target_list_owner = std::make_unique<target_list_replica>(
        impl_->store, std::move(table), impl_->boot, pause, std::move(hooks));
    impl_->target_list = impl_->target_list_owner.get();
    impl_->target_list_owner->start();
}

void job_scheduler::set_targets(
    const std::map<std::string, target_entry>& targets)
{
    impl_->agent.set_racks(locate_racks(targets));
    {
        const std::lock_guard<std::mutex> lock(impl_->load_mutex);
        impl_->load.targets = targets;
    }
    impl_->racks.set_targets(targets);
    impl_->has_targets = true;
}

std::string job_scheduler::metrics_text() const
{
    return impl_->registry->prometheus_text();
}

metric_registry& job_scheduler::metrics() noexcept
{
    return *impl_->registry;
}

bool job_scheduler::is_ready() const
{
    return !impl_->is_leaving && config()->version > 0 && impl_->has_targets &&
           impl_->agent.has_store_contact();
}

submit_answer job_scheduler::submit(const std::string& queue,
                                    const std::string& id, job_spec spec,
                                    std::chrono::milliseconds budget)
{
    job_request request;
    request.id = id;
    request.queue = queue;
    request.terms = find_queue_terms(*config(), queue);
    request.spec = std::move(spec);
    request_trace trace;
    const time_point begun_at = steady_clock::now();
    const request_limits limits{begun_at + budget, begun_at + budget};
    const job_reply reply = impl_->forward_request(
        submit_message, std::move(request), limits, trace);
    submit_answer answer;
    answer.retry_after_ms = reply.retry_after_ms;
    if (reply.verdict == "accepted")
    {
        answer.verdict = submit_verdict::accepted;
    }
    else if (reply.verdict == "refused" || !trace.was_forwarded)
    {
        answer.verdict = submit_verdict::refused;
    }
    impl_->count_submission(answer, trace);
    log_info("handled job submission",
             {{"job", id},
              {"queue", queue},
              {"verdict", reply.verdict},
              {"passed_on", trace.was_forwarded},
              {"owner", trace.owner},
              {"owner_version", trace.owner_version},
              {"attempts", trace.attempts},
              {"config_version", config()->version},
              {"took_ms", elapsed_ms(begun_at, steady_clock::now())}});
    return answer;
}

job_answer job_scheduler::query(const std::string& id,
                                std::chrono::milliseconds budget)
{
    job_request request;
    request.id = id;
    request_trace trace;
    const time_point begun_at = steady_clock::now();
    const request_limits limits{begun_at + budget / 2, begun_at + budget};
    const job_reply reply = impl_->forward_request(
        query_message, std::move(request), limits, trace);
    if (reply.verdict == "known")
    {
        return {lookup_verdict::known, reply.state};
    }
    if (reply.verdict == "absent")
    {
        impl_->count_lookup(id, "absent", trace, begun_at);
        return {lookup_verdict::absent, ""};
    }
    const milliseconds left(remaining_ms(begun_at + budget));
    const std::optional<job_answer> recorded = impl_->read_state(
        id, std::clamp(left, shortest_read,
                       impl_->options.coordinator.read_timeout));
    if (!recorded || recorded->verdict == lookup_verdict::absent)
    {
        impl_->count_lookup(id, recorded ? "absent" : "unknown", trace,
                            begun_at);
    }
    return recorded.value_or(job_answer{});
}

job_answer job_scheduler::cancel(const std::string& id,
                                 std::chrono::milliseconds budget)
{
    job_request request;
    request.id = id;
    request_trace trace;
    const time_point begun_at = steady_clock::now();
    const request_limits limits{begun_at + budget, begun_at + budget};
    const job_reply reply = impl_->forward_request(
        cancel_message, std::move(request), limits, trace);
    log_info("handled job cancellation",
             {{"job", id},
              {"verdict", reply.verdict},
              {"passed_on", trace.was_forwarded},
              {"owner", trace.owner},
              {"owner_version", trace.owner_version},
              {"took_ms", elapsed_ms(begun_at, steady_clock::now())}});
    if (reply.verdict == "known")
    {
        return {lookup_verdict::known, reply.state};
    }
    return {reply.verdict == "absent" ? lookup_verdict::absent
                                      : lookup_verdict::unknown,
            ""};
}

std::int64_t job_scheduler::pending(const std::string& queue)
{
    const std::map<std::string, std::int64_t> counts = impl_->count_pending();
    const auto count = counts.find(queue);
    const std::lock_guard<std::mutex> lock(impl_->pending_mutex);
    const auto window = impl_->pending_windows.find(queue);
    const std::int64_t latest =
        window == impl_->pending_windows.end()
            ? 0
            : max_value(window->second, max_pending_age, steady_clock::now());
    return std::max(latest, count == counts.end() ? 0 : count->second);
}

} // namespace egretspindle
