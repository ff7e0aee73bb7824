/// \file
/// Services of an entry host, in the order of their construction.

#ifndef EGRETSPINDLE_SRC_NODE_NODE_PARTS_HPP
#define EGRETSPINDLE_SRC_NODE_NODE_PARTS_HPP

#include "egretspindle/adapters/store_client.hpp"
#include "egretspindle/admin/admin_service.hpp"
#include "egretspindle/membership/membership_service.hpp"
#include "egretspindle/metrics/metric_registry.hpp"
#include "egretspindle/net/http_server.hpp"
#include "egretspindle/net/rpc_client.hpp"
#include "egretspindle/net/rpc_server.hpp"
#include "egretspindle/node/caller_service.hpp"
#include "egretspindle/node/host_list_cache.hpp"
#include "egretspindle/node/node.hpp"
#include "egretspindle/node/shard_scanner.hpp"
#include "egretspindle/ownership/ownership_service.hpp"
#include "egretspindle/plan/plan_service.hpp"
#include "egretspindle/plan/plan_table.hpp"
#include "egretspindle/protocol/host_status.hpp"
#include "egretspindle/protocol/message_router.hpp"
#include "egretspindle/request_path/coordinator.hpp"
#include "egretspindle/request_path/peer_rack_router.hpp"
#include "egretspindle/request_path/rack_table.hpp"
#include "egretspindle/request_path/request_router.hpp"

#include <atomic>
#include <memory>
#include <mutex>

namespace egretspindle
{

/// State and services of an entry host.
struct node::impl
{
    explicit impl(const settings& value);

    // node.cpp
    void create_services();
    void start_services();
    std::string not_ready_reason() const;
    void update_gauges();
    bool wait_for_busy_requests(time_point deadline) const;

    // node_hooks.cpp
    membership_options make_membership_options() const;
    ownership_options make_ownership_options() const;
    rack_options make_rack_options() const;
    rack_hooks make_rack_hooks();
    coordinator_options make_coordinator_options() const;
    coordinator_hooks make_coordinator_hooks();
    ownership_callbacks make_ownership_callbacks();
    member_digest describe_self() const;
    std::shared_ptr<const policy_limits> current_limits();

    // node_messages.cpp
    void register_messages();
    egretspindle::host_status make_host_status() const;

    // node_admin.cpp
    admin_hooks make_admin_hooks();
    std::vector<target_status> target_statuses() const;
    std::vector<request_status> open_requests(int limit) const;
    absl::StatusOr<request_status> lookup(const std::string& key) const;

    settings config;
    metric_registry metrics;
    std::unique_ptr<store_client> store;
    std::unique_ptr<host_list_client> host_list;
    std::unique_ptr<rpc_client> peers;
    std::unique_ptr<host_list_cache> hosts;
    plan_table plans;
    std::unique_ptr<membership_service> members;
    std::unique_ptr<plan_service> plan_operations;
    std::unique_ptr<rack_table> racks;
    std::unique_ptr<peer_rack_router> rack_routes;
    std::unique_ptr<coordinator> requests;
    std::unique_ptr<request_router> request_routes;
    std::unique_ptr<ownership_service> ownership;
    std::unique_ptr<shard_scanner> shards;
    std::unique_ptr<caller_service> callers;
    message_router messages;
    std::unique_ptr<rpc_server> peer_server;
    std::unique_ptr<http_server> caller_server;
    std::unique_ptr<admin_service> admin;
    std::unique_ptr<http_server> admin_server;
    std::atomic<bool> is_draining{false};

    std::mutex limits_mutex;
    std::int64_t limits_version = -1;
    std::shared_ptr<const policy_limits> limits;
};

} // namespace egretspindle

#endif
