/// \file
/// Status of all data centres.

#ifndef EGRETSPINDLE_ADMIN_CLUSTER_STATUS_HPP
#define EGRETSPINDLE_ADMIN_CLUSTER_STATUS_HPP

#include "egretspindle/protocol/host_status.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace egretspindle
{

/// Status of one host, and whether it answered.
struct cluster_host_status
{
    std::string name;
    std::string address; ///< `ip:port` of its RPC server
    std::string data_center;
    std::string state;      ///< membership state at the collecting host
    bool reachable = false; ///< answered within the time limit
    std::string error;      ///< why it did not answer
    bool ready = false;
    bool store_reachable = false;
    /// In force there; last known if it is not reachable.
    std::int64_t plan_version = 0;
    std::string plan_digest;
    int open_requests = 0;
    int queued_batch = 0;
    int racks = 0; ///< number of racks that it owns
};

/// Visits the fields of `cluster_host_status` for the codec.
template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value,
                  const cluster_host_status* /*tag*/)
{
    visit("name", value.name);
    visit("address", value.address);
    visit("data_center", value.data_center);
    visit("state", value.state);
    visit("reachable", value.reachable);
    visit("error", value.error);
    visit("ready", value.ready);
    visit("store_reachable", value.store_reachable);
    visit("plan_version", value.plan_version);
    visit("plan_digest", value.plan_digest);
    visit("open_requests", value.open_requests);
    visit("queued_batch", value.queued_batch);
    visit("racks", value.racks);
}

/// Summary of the hosts of a data centre.
struct data_center_status
{
    std::string name;
    int hosts = 0;
    int reachable = 0;
    std::int64_t lowest_plan_version = 0;  ///< among hosts that answered
    std::int64_t highest_plan_version = 0; ///< among hosts that answered
};

/// Visits the fields of `data_center_status` for the codec.
template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value,
                  const data_center_status* /*tag*/)
{
    visit("name", value.name);
    visit("hosts", value.hosts);
    visit("reachable", value.reachable);
    visit("lowest_plan_version", value.lowest_plan_version);
    visit("highest_plan_version", value.highest_plan_version);
}

/// Status of all hosts, as collected by one host.
struct cluster_status
{
    std::string seen_from;         ///< host that collected the status
    std::int64_t plan_version = 0; ///< highest in force anywhere
    bool is_complete = false;      ///< every host answered
    std::vector<data_center_status> data_centers;
    std::vector<cluster_host_status> hosts;
};

/// Visits the fields of `cluster_status` for the codec.
template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const cluster_status* /*tag*/)
{
    visit("seen_from", value.seen_from);
    visit("plan_version", value.plan_version);
    visit("is_complete", value.is_complete);
    visit("data_centers", value.data_centers);
    visit("hosts", value.hosts);
}

} // namespace egretspindle

#endif
