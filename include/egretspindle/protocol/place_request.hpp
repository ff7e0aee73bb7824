/// \file
/// Request to start an attempt on a rack.

#ifndef EGRETSPINDLE_PROTOCOL_PLACE_REQUEST_HPP
#define EGRETSPINDLE_PROTOCOL_PLACE_REQUEST_HPP

#include "egretspindle/core/request_spec.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace egretspindle
{

/// Asks the owner of a rack to start an attempt, or to reserve capacity for it.
struct place_request
{
    request_spec spec;
    int attempt = 1;
    std::string rack;
    std::string data_center;             ///< of the rack
    std::string coordinator_data_center; ///< receives the report of the end
    std::string checkpoint;
    bool reserve_only = false;
    std::string target;  ///< reserved target, when there is one
    std::string boot_id; ///< expected boot id of the reserved target
    /// Until the caller's deadline; 0 means none.
    std::int64_t remaining_ms = 0;
    std::vector<std::string> excluded; ///< targets that must not be used
    bool may_evict = true;             ///< whether batch tasks may be evicted
    bool relayed = false;              ///< already forwarded by another host
    std::int64_t wait_ms = 0;          ///< how long to wait for the end
};

/// Visits the fields of `place_request` for the codec.
template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const place_request* /*tag*/)
{
    visit("spec", value.spec);
    visit("attempt", value.attempt);
    visit("rack", value.rack);
    visit("data_center", value.data_center);
    visit("coordinator_data_center", value.coordinator_data_center);
    visit("checkpoint", value.checkpoint);
    visit("reserve_only", value.reserve_only);
    visit("target", value.target);
    visit("boot_id", value.boot_id);
    visit("remaining_ms", value.remaining_ms);
    visit("excluded", value.excluded);
    visit("may_evict", value.may_evict);
    visit("relayed", value.relayed);
    visit("wait_ms", value.wait_ms);
}

} // namespace egretspindle

#endif
