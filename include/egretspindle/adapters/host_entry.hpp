/// \file
/// Entry of the platform's host list.

#ifndef EGRETSPINDLE_ADAPTERS_HOST_ENTRY_HPP
#define EGRETSPINDLE_ADAPTERS_HOST_ENTRY_HPP

#include <cstdint>
#include <string>

namespace egretspindle
{

/// Entry of the host list: a target or an entry host.
struct host_entry
{
    std::string name;
    std::string role; ///< `target` or `entry`
    std::string data_center;
    std::string rack;
    std::string address;        ///< `ip:port`
    std::string state = "live"; ///< `live` or `leaving`
    int slots = 0;
    int connections = 0;
    double cpu_cores = 0;
    double memory_mb = 0;
    int accelerators = 0;
};

/// Visits the fields of `host_entry` for the codec.
template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const host_entry* /*tag*/)
{
    visit("name", value.name);
    visit("role", value.role);
    visit("data_center", value.data_center);
    visit("rack", value.rack);
    visit("address", value.address);
    visit("state", value.state);
    visit("slots", value.slots);
    visit("connections", value.connections);
    visit("cpu_cores", value.cpu_cores);
    visit("memory_mb", value.memory_mb);
    visit("accelerators", value.accelerators);
}

} // namespace egretspindle

#endif
