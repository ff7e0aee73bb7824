#include "egretspindle/scheduler/job_scheduler.hpp"

#include "egretspindle/codec/json.hpp"
#include "egretspindle/core/error.hpp"
#include "egretspindle/jobs/job_machine.hpp"
#include "egretspindle/jobs/job_record.hpp"
#include "egretspindle/logging/log.hpp"
#include "egretspindle/logging/log_rate_limit.hpp"
#include "egretspindle/net/rpc_server.hpp"
#include "egretspindle/protocol/message_router.hpp"
#include "egretspindle/protocol/peer_client.hpp"
#include "egretspindle/scheduler/cluster_agent.hpp"
#include "egretspindle/scheduler/host_metrics.hpp"
#include "egretspindle/scheduler/host_outbox.hpp"
#include "egretspindle/scheduler/load_exchange.hpp"
#include "egretspindle/scheduler/shard.hpp"

#include <atomic>
#include <condition_variable>
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

constexpr milliseconds tick_period{250};
constexpr milliseconds activity_period{5'000};
// A fleet of 490 targets reports its room every 602 ms.
constexpr milliseconds reservation_period{600};
// Each host may have orders for each rack, and sends them every second.
constexpr milliseconds no_owner_line_period{1'000};
constexpr milliseconds orders_timeout{1'500};
// Longer than the wait of the coordinator for the record.
constexpr milliseconds reports_timeout{3'000};
constexpr milliseconds report_wait{2'000};
constexpr milliseconds retry_pause{100};
// A call is passed on at most this long before the owner is looked up again.
constexpr milliseconds longest_call{1'200};
constexpr std::size_t max_batch = 64;
constexpr std::int64_t unavailable_retry_ms = 1'000;

std::string shard_resource(const std::string& id)
{
    return std::string(shard_prefix) + shard_of(id);
}

std::string rack_resource(const std::string& rack)
{
    return std::string(rack_prefix) + rack;
}

/// How a call of a caller went.
struct call_trace
{
    bool was_passed_on = false;
    std::string owner; ///< host that was asked last
    std::int64_t owner_version = 0;
    int attempts = 0;
};

std::string first_step_of(const rack_orders& orders)
{
    return orders.starts.empty() ? std::string()
                                 : orders.starts.front().terms.step;
}

std::int64_t remaining_ms(time_point deadline)
{
    return elapsed_ms(steady_clock::now(), deadline);
}

} // namespace

struct job_scheduler::impl
{
    impl(table_store& rows, target_port& port, scheduler_options settings);

    job_reply call_owner(std::string_view message, job_request call,
                         time_point deadline, call_trace& trace);
    void count_submission(const submit_answer& answer, const call_trace& trace);
    void count_lookup(const std::string& id, std::string_view verdict,
                      const call_trace& trace, time_point begun);
    job_reply call_self(std::string_view message, const job_request& call);
    std::optional<job_answer> read_state(const std::string& id);
    absl::StatusOr<std::optional<job>> read_job(const std::string& id);
    std::optional<run_racks> read_assignments(const std::string& id);
    void post_orders(rack_orders orders);
    void deliver_orders(const std::string& host,
                        const std::vector<rack_orders>& items);
    void post_reports(std::vector<run_report> reports);
    void deliver_reports(const std::string& host,
                         std::vector<run_report> reports);
    void apply_peer_load(const load_message& message);
    void apply_own_load(std::vector<rack_load_report> rooms);
    void send_load(const std::vector<load_message>& messages,
                   const std::vector<std::string>& peers);
    void add_handlers();
    void tick_loop();
    void share_load();
    void on_taken(const std::string& resource, std::int64_t token,
                  former_owner former, const clock_reading& confirmed_at);
    void on_lost(const std::string& resource);
    [[nodiscard]] time_point stop_of(former_owner former) const;
    job_coordinator_hooks make_coordinator_hooks();
    rack_agent_hooks make_rack_hooks();
    cluster_hooks make_cluster_hooks();

    table_store& store;
    scheduler_options options;
    time_point started_at = steady_clock::now();
    std::int64_t boot = unix_ms();
    std::shared_ptr<metric_registry> registry =
        std::make_shared<metric_registry>();
    host_metrics metrics{*registry};
    log_rate_limit no_owner_lines{no_owner_line_period};

    mutable std::mutex config_mutex;
    std::shared_ptr<const fleet_config> config =
        std::make_shared<const fleet_config>();

    std::mutex load_mutex;
    fleet_load load;
    std::minstd_rand random{std::random_device{}()};
    // Used by the ticking thread only.
    send_schedule room_schedule;
    send_schedule pair_schedule;
    send_schedule reservation_schedule;
    pair_outbox pairs_out;
    time_point activity_logged_at;
    std::atomic<bool> has_targets{false};
    std::atomic<bool> is_leaving{false};
    std::atomic<bool> has_new_peer{false}; ///< since pairs were sent

    job_coordinator coordinator;
    rack_agent racks;
    cluster_agent agent;
    host_outbox<rack_orders> orders_out;
    host_outbox<run_report> reports_out;
    message_router router;
    std::unique_ptr<rpc_client> client;
    std::unique_ptr<rpc_server> server;
    std::unique_ptr<load_exchange> loads;

    std::mutex tick_mutex;
    std::condition_variable tick_wake;
    bool is_stopping = false;
    std::thread ticker;
};

job_scheduler::impl::impl(table_store& rows, target_port& port,
                          scheduler_options settings)
    : store(rows), options(std::move(settings)),
      coordinator(rows, make_coordinator_hooks(), options.coordinator),
      racks(port, make_rack_hooks(), options.racks),
      agent(
          rows,
          host_row{options.host,
                   boot,
                   to_string(endpoint{options.peer_address, options.peer_port}),
                   options.data_center,
                   false,
                   0,
                   {},
                   options.weight},
          make_cluster_hooks(), liveness_limits{}),
      orders_out(max_batch, [this](const std::string& host,
                                   const std::vector<rack_orders>& items)
                 { deliver_orders(host, items); }),
      reports_out(max_batch, [this](const std::string& host,
                                    std::vector<run_report>& items)
                  { deliver_reports(host, std::move(items)); })
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
    hooks.see_racks = [this](const std::vector<std::string>& names)
    {
        const std::lock_guard<std::mutex> lock(load_mutex);
        return summarize_rack_loads(load, names, steady_clock::now());
    };
    hooks.see_service = [this](const std::string& service)
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
    hooks.lost_shard = [this](const std::string& shard)
    {
        const std::string resource = std::string(shard_prefix) + shard;
        const std::optional<owner_location> owner = agent.owner_of(resource);
        if (owner && owner->is_self)
        {
            agent.report_newer_token(resource, owner->token);
        }
    };
    hooks.send = [this](rack_orders orders)
    {
        post_orders(std::move(orders));
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
        [this](const step_terms& terms, const std::string& rack)
    {
        const std::lock_guard<std::mutex> lock(load_mutex);
        return hand_back_quota(load, terms, rack, steady_clock::now(), random);
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
    return hooks;
}

cluster_hooks job_scheduler::impl::make_cluster_hooks()
{
    cluster_hooks hooks;
    hooks.taken = [this](const std::string& resource, std::int64_t token,
                         former_owner former, const clock_reading& confirmed_at)
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
    hooks.pending = [this]
    {
        return coordinator.pending();
    };
    return hooks;
}

// --- ownership -------------------------------------------------------------

// When a former owner has certainly granted its last lease. One that is silent
// may be cut off from the store and live.
time_point job_scheduler::impl::stop_of(former_owner former) const
{
    switch (former)
    {
    case former_owner::restart:
        return started_at;
    case former_owner::other:
        return steady_clock::now() + options.racks.lease.authority;
    case former_owner::none:
        break;
    }
    return steady_clock::now();
}

void job_scheduler::impl::on_taken(const std::string& resource,
                                   std::int64_t token, former_owner former,
                                   const clock_reading& confirmed_at)
{
    const std::size_t slash = resource.find('/');
    const std::string name = resource.substr(slash + 1);
    const bool is_shard = resource.compare(0, slash, "shard") == 0;
    metrics.count_taken(is_shard ? resource_kind::shard : resource_kind::rack,
                        former);
    if (is_shard)
    {
        coordinator.take_shard(name, token);
        return;
    }
    rack_takeover takeover;
    takeover.rack = name;
    takeover.token = token;
    takeover.former_stopped_at = stop_of(former);
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
    racks.drop_rack(name);
}

// --- calls of callers ------------------------------------------------------

job_reply job_scheduler::impl::call_self(std::string_view message,
                                         const job_request& call)
{
    if (message == submit_message)
    {
        return coordinator.submit(call);
    }
    return message == query_message ? coordinator.query(call)
                                    : coordinator.cancel(call);
}

// Passes a call to the owner of the job's shard until one answers.
job_reply job_scheduler::impl::call_owner(std::string_view message,
                                          job_request call, time_point deadline,
                                          call_trace& trace)
{
    job_reply last{"unknown", "", unavailable_retry_ms};
    const std::string resource = shard_resource(call.id);
    bool may_be_stored = false;
    for (;;)
    {
        const std::int64_t left = remaining_ms(deadline);
        if (left <= 0)
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
            call.budget_ms = left;
            trace.was_passed_on = true;
            last = call_self(message, call);
        }
        else if (owner)
        {
            const std::int64_t budget =
                std::min<std::int64_t>(left, longest_call.count());
            call.budget_ms = budget * 9 / 10;
            const absl::StatusOr<job_reply> reply = call_peer<job_reply>(
                *client, owner->peer, message, call, milliseconds(budget));
            trace.was_passed_on |= reply.ok() || kind_of(reply.status()) !=
                                                     error_kind::unavailable;
            last = reply.ok() ? *reply
                              : job_reply{"unknown", "", unavailable_retry_ms};
        }
        if (last.verdict == "refused" && may_be_stored)
        {
            // An earlier owner may have stored the job before it fell silent.
            last.verdict = "unknown";
            return last;
        }
        if (last.verdict != "not_owner" && last.verdict != "unknown")
        {
            return last;
        }
        may_be_stored |= trace.was_passed_on && last.verdict == "unknown";
        if (last.verdict == "unknown" && message != submit_message)
        {
            return last; // the row itself answers
        }
        agent.refresh();
        last.verdict = "unknown";
        std::this_thread::sleep_for(retry_pause);
    }
}

void job_scheduler::impl::count_submission(const submit_answer& answer,
                                           const call_trace& trace)
{
    switch (answer.verdict)
    {
    case submit_verdict::accepted:
        metrics.accepted.add();
        break;
    case submit_verdict::refused:
        (trace.was_passed_on ? metrics.refused : metrics.no_owner).add();
        break;
    case submit_verdict::unknown:
        metrics.unknown.add();
        break;
    }
}

void job_scheduler::impl::count_lookup(const std::string& id,
                                       std::string_view verdict,
                                       const call_trace& trace,
                                       time_point begun)
{
    (verdict == "absent" ? metrics.lookups_absent : metrics.lookups_unknown)
        .add();
    log_info("job was not found",
             {{"job", id},
              {"verdict", verdict},
              {"passed_on", trace.was_passed_on},
              {"owner", trace.owner},
              {"owner_version", trace.owner_version},
              {"took_ms", elapsed_ms(begun, steady_clock::now())}});
}

// Reads the record of a job; no job when there is none.
absl::StatusOr<std::optional<job>>
job_scheduler::impl::read_job(const std::string& id)
{
    row_range range;
    range.table = std::string(jobs_table);
    range.part = shard_of(id);
    range.from = id;
    range.limit = 1;
    const absl::StatusOr<table_page> page =
        store.read(range, options.coordinator.commit_timeout);
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
            "record was not read",
            {{"job", id}, {"error", std::string(value.status().message())}});
        return value.status();
    }
    return std::optional<job>(*std::move(value));
}

std::optional<job_answer> job_scheduler::impl::read_state(const std::string& id)
{
    const absl::StatusOr<std::optional<job>> value = read_job(id);
    if (!value.ok())
    {
        return std::nullopt;
    }
    if (!*value)
    {
        return job_answer{lookup_verdict::absent, ""};
    }
    return job_answer{lookup_verdict::known, std::string(shown_state(**value))};
}

std::optional<run_racks>
job_scheduler::impl::read_assignments(const std::string& id)
{
    const absl::StatusOr<std::optional<job>> value = read_job(id);
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

void job_scheduler::impl::post_orders(rack_orders orders)
{
    const std::optional<owner_location> owner =
        agent.owner_of(rack_resource(orders.rack));
    if (!owner)
    {
        metrics.orders_without_owner.add();
        const std::optional<std::int64_t> suppressed =
            no_owner_lines.try_acquire();
        if (suppressed)
        {
            log_warning("orders have no receiver",
                        {{"rack", orders.rack},
                         {"first_step", first_step_of(orders)},
                         {"steps", orders.starts.size()},
                         {"stops", orders.stops.size()},
                         {"left_out", *suppressed}});
        }
        agent.refresh();
        coordinator.mark_undelivered(orders);
        return;
    }
    orders_out.post(owner->host, std::move(orders));
}

void job_scheduler::impl::deliver_orders(const std::string& /*host*/,
                                         const std::vector<rack_orders>& items)
{
    for (const rack_orders& orders : items)
    {
        const std::optional<owner_location> owner =
            agent.owner_of(rack_resource(orders.rack));
        if (!owner)
        {
            agent.refresh();
            coordinator.mark_undelivered(orders);
            continue;
        }
        rack_orders_reply reply;
        if (owner->is_self)
        {
            reply = racks.execute(orders);
        }
        else
        {
            const time_point sent_at = steady_clock::now();
            const absl::StatusOr<rack_orders_reply> answer =
                call_peer<rack_orders_reply>(*client, owner->peer,
                                             orders_message, orders,
                                             orders_timeout);
            metrics.observe_orders(!answer.ok() ? orders_result::failed
                                   : answer->is_owner
                                       ? orders_result::taken
                                       : orders_result::not_owner,
                                   steady_clock::now() - sent_at);
            if (!answer.ok())
            {
                log_warning(
                    "orders were not answered",
                    {{"rack", orders.rack},
                     {"host", owner->host},
                     {"owner_version", orders.token},
                     {"first_step", first_step_of(orders)},
                     {"steps", orders.starts.size()},
                     {"stops", orders.stops.size()},
                     {"error", std::string(answer.status().message())}});
                if (kind_of(answer.status()) == error_kind::unavailable)
                {
                    coordinator.mark_undelivered(orders); // nothing was sent
                }
                continue;
            }
            reply = *answer;
        }
        if (!reply.is_owner)
        {
            log_info("orders were refused",
                     {{"rack", orders.rack},
                      {"host", owner->host},
                      {"owner_version", orders.token},
                      {"first_step", first_step_of(orders)},
                      {"steps", orders.starts.size()},
                      {"stops", orders.stops.size()}});
            agent.refresh();
            coordinator.mark_undelivered(orders);
        }
        coordinator.confirm(orders, reply);
    }
}

void job_scheduler::impl::post_reports(std::vector<run_report> reports)
{
    for (run_report& report : reports)
    {
        const std::size_t dot = report.task.find('.');
        const std::optional<owner_location> owner =
            agent.owner_of(shard_resource(report.task.substr(0, dot)));
        reports_out.post(owner ? owner->host : std::string(),
                         std::move(report));
    }
}

void job_scheduler::impl::deliver_reports(const std::string& host,
                                          std::vector<run_report> reports)
{
    report_batch batch{std::move(reports)};
    const std::size_t dot = batch.reports.front().task.find('.');
    const std::optional<owner_location> owner = agent.owner_of(
        shard_resource(batch.reports.front().task.substr(0, dot)));
    absl::StatusOr<report_reply> reply =
        make_error(error_kind::unavailable, "the shard has no owner; wait");
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
    std::vector<run_report> again;
    if (!reply.ok())
    {
        log_warning("reports were not recorded",
                    {{"host", host},
                     {"first_task", batch.reports.front().task},
                     {"reports", batch.reports.size()},
                     {"error", std::string(reply.status().message())}});
        again = std::move(batch.reports);
    }
    else
    {
        racks.apply_verdicts(batch.reports, *reply);
        for (std::size_t n = 0; n < batch.reports.size(); ++n)
        {
            if (n >= reply->verdicts.size() ||
                reply->verdicts[n].verdict == "retry")
            {
                again.push_back(std::move(batch.reports[n]));
            }
        }
    }
    if (!again.empty())
    {
        agent.refresh();
        std::this_thread::sleep_for(retry_pause);
        post_reports(std::move(again));
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
                      const job_request& call) -> absl::StatusOr<job_reply>
            { return call_self(message, call); });
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
}

// --- load ------------------------------------------------------------------

// Takes over a message of another host.
void job_scheduler::impl::apply_peer_load(const load_message& message)
{
    agent.record_store_contact(message.host, !message.is_without_store);
    std::vector<rack_load_report> rooms = load_reports_of(message);
    const std::vector<pair_interference> pairs = pairs_of(message);
    if (!pairs.empty())
    {
        racks.update_peer_interference(message.host, message.boot, pairs);
    }
    const std::lock_guard<std::mutex> lock(load_mutex);
    apply_load_reports(load, rooms, steady_clock::now());
    if (update_host_boot(load, message.host, message.boot))
    {
        has_new_peer = true;
    }
}

// Shows the load of this host's racks to the other parts of this host.
void job_scheduler::impl::apply_own_load(std::vector<rack_load_report> rooms)
{
    std::optional<interference_model> merged = racks.copy_changed_model();
    std::optional<std::map<std::string, double>> shares;
    {
        const std::lock_guard<std::mutex> lock(load_mutex);
        const time_point now = steady_clock::now();
        apply_load_reports(load, rooms, now);
        if (advance_if_due(reservation_schedule, reservation_period, now))
        {
            shares = reserved_shares(load, now);
        }
        if (merged)
        {
            std::swap(load.interference, *merged);
        }
    }
    // The lock of the racks is taken before that of the load elsewhere.
    if (shares)
    {
        racks.set_reserved_shares(*std::move(shares));
    }
}

void job_scheduler::impl::send_load(const std::vector<load_message>& messages,
                                    const std::vector<std::string>& peers)
{
    for (const load_message& message : messages)
    {
        const std::size_t bytes = loads->send(message, peers);
        count_datagram(racks.activity().reports_out, bytes * peers.size());
    }
}

void job_scheduler::impl::share_load()
{
    const std::vector<rack_load_report> rooms = racks.measure();
    apply_own_load(rooms);
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
    if (agent.is_outage())
    {
        racks.extend_authority();
    }
    if (advance_if_due(room_schedule, report_period(size), now))
    {
        std::vector<load_message> messages =
            load_report_messages(options.host, boot, rooms);
        if (agent.is_without_store())
        {
            messages.resize(std::max<std::size_t>(1, messages.size()));
            messages.front().host = options.host;
            messages.front().boot = boot;
            messages.front().is_without_store = true;
        }
        send_load(messages, peers);
    }
    if (advance_if_due(pair_schedule, pair_period(size), now))
    {
        if (has_new_peer.exchange(false))
        {
            mark_all_due(pairs_out);
        }
        const std::vector<pair_interference> pairs =
            racks.select_due_pairs(pairs_out);
        if (!pairs.empty())
        {
            send_load({pair_message(options.host, boot, pairs)}, peers);
        }
    }
    if (elapsed(activity_logged_at) >= activity_period)
    {
        activity_logged_at = steady_clock::now();
        queue_lengths queues;
        queues.racks = rooms.size();
        for (const rack_load_report& room : rooms)
        {
            queues.queued_starts += room.queued;
        }
        log_activity(racks.activity(), queues);
        racks.log_queues();
        metrics.has_store_contact.set(agent.has_store_contact() ? 1 : 0);
    }
}

void job_scheduler::impl::tick_loop()
{
    for (;;)
    {
        const time_point begun = steady_clock::now();
        racks.tick();
        share_load();
        coordinator.tick();
        std::atomic<std::int64_t>& longest = racks.activity().longest_tick_ms;
        longest = std::max(longest.load(), elapsed(begun).count());
        metrics.tick.observe(
            fractional_ms(steady_clock::now() - begun).count());
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
    options.coordinator.report_wait = report_wait;
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
    impl_->loads = std::make_unique<load_exchange>(
        key,
        [this](const load_message& message, std::size_t bytes)
        {
            count_datagram(impl_->racks.activity().reports_in, bytes);
            impl_->apply_peer_load(message);
        });
    status = impl_->loads->start(impl_->options.peer_address,
                                 impl_->options.peer_port);
    if (!status.ok())
    {
        return status;
    }
    impl_->agent.start();
    impl_->ticker = std::thread([this] { impl_->tick_loop(); });
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
    if (impl_->ticker.joinable())
    {
        impl_->ticker.join();
    }
    impl_->agent.stop();
    impl_->coordinator.stop();
    impl_->racks.stop();
    impl_->orders_out.stop();
    impl_->reports_out.stop();
    if (impl_->server)
    {
        impl_->server->stop();
    }
    if (impl_->loads)
    {
        impl_->loads->stop();
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
    log_info("configuration in force",
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

void job_scheduler::set_targets(
    const std::map<std::string, target_entry>& targets)
{
    std::map<std::string, std::string> racks;
    for (const auto& [id, entry] : targets)
    {
        racks[entry.rack] = entry.data_center;
    }
    impl_->agent.set_racks(racks);
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
    job_request call;
    call.id = id;
    call.queue = queue;
    call.spec = std::move(spec);
    call_trace trace;
    const time_point begun = steady_clock::now();
    const job_reply reply = impl_->call_owner(submit_message, std::move(call),
                                              begun + budget, trace);
    submit_answer answer;
    answer.retry_after_ms = reply.retry_after_ms;
    if (reply.verdict == "accepted")
    {
        answer.verdict = submit_verdict::accepted;
    }
    else if (reply.verdict == "refused" || !trace.was_passed_on)
    {
        answer.verdict = submit_verdict::refused;
    }
    impl_->count_submission(answer, trace);
    log_info("job submitted",
             {{"job", id},
              {"queue", queue},
              {"verdict", reply.verdict},
              {"passed_on", trace.was_passed_on},
              {"owner", trace.owner},
              {"owner_version", trace.owner_version},
              {"attempts", trace.attempts},
              {"config_version", config()->version},
              {"took_ms", elapsed_ms(begun, steady_clock::now())}});
    return answer;
}

job_answer job_scheduler::query(const std::string& id,
                                std::chrono::milliseconds budget)
{
    job_request call;
    call.id = id;
    call_trace trace;
    const time_point begun = steady_clock::now();
    const job_reply reply = impl_->call_owner(query_message, std::move(call),
                                              begun + budget / 2, trace);
    if (reply.verdict == "known")
    {
        return {lookup_verdict::known, reply.state};
    }
    if (reply.verdict == "absent")
    {
        impl_->count_lookup(id, "absent", trace, begun);
        return {lookup_verdict::absent, ""};
    }
    const std::optional<job_answer> recorded = impl_->read_state(id);
    if (!recorded || recorded->verdict == lookup_verdict::absent)
    {
        impl_->count_lookup(id, recorded ? "absent" : "unknown", trace, begun);
    }
    return recorded.value_or(job_answer{});
}

job_answer job_scheduler::cancel(const std::string& id,
                                 std::chrono::milliseconds budget)
{
    job_request call;
    call.id = id;
    call_trace trace;
    const time_point begun = steady_clock::now();
    const job_reply reply = impl_->call_owner(cancel_message, std::move(call),
                                              begun + budget, trace);
    log_info("job cancellation",
             {{"job", id},
              {"verdict", reply.verdict},
              {"passed_on", trace.was_passed_on},
              {"owner", trace.owner},
              {"owner_version", trace.owner_version},
              {"took_ms", elapsed_ms(begun, steady_clock::now())}});
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
    const std::map<std::string, std::int64_t> own =
        impl_->coordinator.pending();
    const auto it = own.find(queue);
    return (it == own.end() ? 0 : it->second) +
           impl_->agent.pending_elsewhere(queue);
}

} // namespace egretspindle
