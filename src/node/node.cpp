#include "egretspindle/node/node.hpp"

#include "egretspindle/logging/log.hpp"

#include "node_parts.hpp"

#include <fmt/format.h>

#include <thread>

namespace egretspindle
{

namespace
{

constexpr milliseconds shard_scan_period{15'000};
// The platform's load balancer stops sending requests within this time after
// the host reports that it is not ready.
constexpr milliseconds load_balancer_delay{1500};
constexpr milliseconds busy_poll_period{50};

} // namespace

node::impl::impl(const settings& value) : config(value) {}

void node::impl::create_services()
{
    peers = std::make_unique<rpc_client>(config.cluster.key, config.host.name);
    hosts = std::make_unique<host_list_cache>(
        *host_list, milliseconds(config.timing.host_list_poll_ms));
    members = std::make_unique<membership_service>(
        make_membership_options(), *peers, [this] { return describe_self(); },
        store.get());
    racks =
        std::make_unique<rack_table>(make_rack_options(), make_rack_hooks());
    rack_routes = std::make_unique<peer_rack_router>(
        *racks, *members, *peers,
        [this] { return hosts->racks(config.host.data_center); });
    requests = std::make_unique<coordinator>(make_coordinator_options(),
                                             make_coordinator_hooks(), *store,
                                             *rack_routes);
    request_routes =
        std::make_unique<request_router>(*requests, *members, *peers);
    ownership = std::make_unique<ownership_service>(
        make_ownership_options(), *members, *store,
        [this] { return hosts->hosts(); }, *peers, make_ownership_callbacks());
    plan_service_options plan_options;
    plan_options.host_name = config.host.name;
    plan_options.store_timeout = milliseconds(config.timing.store_timeout_ms);
    plan_options.poll_period = milliseconds(config.timing.plan_poll_ms);
    plan_options.context = [this]
    {
        plan_context context;
        std::set<std::string> names;
        for (const host_entry& host : hosts->hosts())
        {
            names.insert(host.name);
        }
        if (!names.empty())
        {
            context.known_hosts = std::move(names);
        }
        return context;
    };
    plan_operations = std::make_unique<plan_service>(
        *store, *peers, [this] { return members->members(); }, plans, unix_ms,
        plan_options);
    shards = std::make_unique<shard_scanner>(
        [this](int shard) { return request_routes->is_own_shard(shard); },
        [this](int shard) { return requests->take_over_shard(shard); },
        shard_scan_period);
    callers = std::make_unique<caller_service>(
        config.limits, *request_routes, plans, metrics,
        caller_hooks{[this] { return not_ready_reason(); },
                     [this]
                     {
                         update_gauges();
                     }});
    register_messages();
    peer_server = std::make_unique<rpc_server>(
        config.cluster.key,
        [this](const std::string& type, const std::string& sender,
               const std::string& payload)
        { return messages.dispatch(type, sender, payload); });
    http_limits server_limits;
    server_limits.max_body_bytes =
        static_cast<std::size_t>(config.limits.max_request_bytes);
    server_limits.max_in_service =
        static_cast<std::size_t>(config.limits.max_threads);
    admin = std::make_unique<admin_service>(config.operators, *plan_operations,
                                            plans, make_admin_hooks());
    admin_server = std::make_unique<http_server>(
        make_admin_limits(),
        [this](const http_request& request) { return admin->handle(request); });
    caller_server = std::make_unique<http_server>(
        server_limits, [this](const http_request& request)
        { return callers->handle(request); });
}

void node::impl::start_services()
{
    members->on_change(
        [this](const member_change&)
        {
            shards->wake();
            plan_operations->wake();
        });
    hosts->start();
    requests->start();
    members->start();
    plan_operations->start();
    ownership->start();
    shards->start();
}

std::string node::impl::not_ready_reason() const
{
    if (is_draining)
    {
        return "shutting down";
    }
    if (plans.version() == 0)
    {
        return "no plan is in force";
    }
    if (hosts->hosts().empty())
    {
        return "the host list is not known";
    }
    if (rack_routes->summaries().empty())
    {
        return "no rack of the data centre has an owner";
    }
    return "";
}

void node::impl::update_gauges()
{
    metrics
        .get_gauge("egretspindle_open_requests",
                   "Requests that this host coordinates.")
        .set(requests->open_count());
    metrics
        .get_gauge("egretspindle_queued_batch",
                   "Batch requests that wait for a start.")
        .set(requests->queued_count());
    metrics
        .get_gauge("egretspindle_store_reachable",
                   "1 when the store answered the last call in time.")
        .set(requests->is_store_healthy() ? 1 : 0);
    metrics.get_gauge("egretspindle_plan_version", "Plan in force.")
        .set(static_cast<double>(plans.version()));
    metrics
        .get_gauge("egretspindle_peer_bytes",
                   "Payload bytes of messages to other hosts.")
        .set(static_cast<double>(peers->byte_count()));
    for (const std::shared_ptr<rack_runtime>& runtime : racks->all())
    {
        const std::string rack = runtime->summary().rack;
        metrics
            .get_gauge("egretspindle_rack_free_slots", "Free slots.",
                       {{"rack", rack}})
            .set(runtime->summary().free_slots);
        for (const auto& [cause, n] : runtime->evictions())
        {
            metrics
                .get_gauge("egretspindle_evictions", "Evictions by cause.",
                           {{"rack", rack}, {"cause", cause}})
                .set(n);
        }
    }
}

bool node::impl::wait_for_busy_requests(time_point deadline) const
{
    while (steady_clock::now() < deadline)
    {
        if (!requests->has_busy_requests())
        {
            return true;
        }
        std::this_thread::sleep_for(busy_poll_period);
    }
    return false;
}

node::node(std::unique_ptr<impl> parts) : impl_(std::move(parts)) {}

node::~node() = default;

absl::StatusOr<std::unique_ptr<node>> node::create(const settings& config)
{
    std::unique_ptr<impl> parts = std::make_unique<impl>(config);
    absl::StatusOr<std::unique_ptr<store_client>> store =
        make_http_store_client(config.platform.store);
    if (!store.ok())
    {
        return store.status();
    }
    parts->store = *std::move(store);
    absl::StatusOr<std::unique_ptr<host_list_client>> host_list =
        make_http_host_list_client(config.platform.host_list);
    if (!host_list.ok())
    {
        return host_list.status();
    }
    parts->host_list = *std::move(host_list);
    parts->create_services();
    return std::unique_ptr<node>(new node(std::move(parts)));
}

absl::Status node::start()
{
    const absl::StatusOr<endpoint> peer =
        parse_endpoint(impl_->config.listen.peer);
    const absl::StatusOr<endpoint> caller =
        parse_endpoint(impl_->config.listen.caller);
    if (!peer.ok())
    {
        return peer.status();
    }
    if (!caller.ok())
    {
        return caller.status();
    }
    absl::Status status = impl_->peer_server->start(peer->address, peer->port);
    if (status.ok() && !impl_->config.listen.admin.empty())
    {
        const absl::StatusOr<endpoint> operators =
            parse_endpoint(impl_->config.listen.admin);
        status = operators.ok() ? impl_->admin_server->start(operators->address,
                                                             operators->port)
                                : operators.status();
    }
    if (!status.ok())
    {
        return status;
    }
    impl_->start_services();
    status = impl_->caller_server->start(caller->address, caller->port);
    if (status.ok())
    {
        log_info("started", {{"host", impl_->config.host.name},
                             {"caller", impl_->config.listen.caller},
                             {"peer", impl_->config.listen.peer}});
    }
    return status;
}

void node::shutdown()
{
    log_info("shutting down", {{"host", impl_->config.host.name}});
    const time_point deadline =
        steady_clock::now() + milliseconds(impl_->config.timing.shutdown_ms);
    impl_->is_draining = true;
    // From here on other hosts coordinate new requests, and this host only
    // forwards those that still arrive.
    impl_->members->leave();
    std::this_thread::sleep_for(load_balancer_delay);
    impl_->wait_for_busy_requests(deadline);
    const std::size_t handed_over = impl_->ownership->release_all(
        std::max(milliseconds(1000), std::chrono::duration_cast<milliseconds>(
                                         deadline - steady_clock::now())));
    impl_->caller_server->wait_idle(milliseconds(std::max<std::int64_t>(
        1000, elapsed_ms(steady_clock::now(), deadline))));
    impl_->shards->stop();
    impl_->requests->flush(milliseconds(std::max<std::int64_t>(
        1000, elapsed_ms(steady_clock::now(), deadline))));
    impl_->caller_server->stop();
    impl_->admin_server->stop();
    impl_->ownership->stop();
    impl_->plan_operations->stop();
    impl_->members->stop();
    impl_->racks->stop();
    impl_->peer_server->stop();
    impl_->requests->stop();
    impl_->hosts->stop();
    log_info("stopped",
             {{"host", impl_->config.host.name}, {"racks", handed_over}});
}

} // namespace egretspindle
