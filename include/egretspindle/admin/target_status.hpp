/// \file
/// Status of a target for operators.

#ifndef EGRETSPINDLE_ADMIN_TARGET_STATUS_HPP
#define EGRETSPINDLE_ADMIN_TARGET_STATUS_HPP

#include <cstdint>
#include <string>

namespace egretspindle
{

/// Load and state of a target.
struct target_status
{
    std::string name;
    std::string data_center;
    std::string rack;
    std::string owner; ///< host that owns the rack
    std::string state; ///< `healthy`, `leaving`, `quarantined`, `unreachable`
    bool drained = false; ///< whether an operator drained it
    int slots = 0;
    int running = 0;
    double cpu_cores = 0;
    double reserved_cores = 0;
    double memory_mb = 0;
    double reserved_memory_mb = 0;
};

/// Visits the fields of `target_status` for the codec.
template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const target_status* /*tag*/)
{
    visit("name", value.name);
    visit("data_center", value.data_center);
    visit("rack", value.rack);
    visit("owner", value.owner);
    visit("state", value.state);
    visit("drained", value.drained);
    visit("slots", value.slots);
    visit("running", value.running);
    visit("cpu_cores", value.cpu_cores);
    visit("reserved_cores", value.reserved_cores);
    visit("memory_mb", value.memory_mb);
    visit("reserved_memory_mb", value.reserved_memory_mb);
}

} // namespace egretspindle

#endif
