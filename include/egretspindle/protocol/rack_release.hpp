/// \file
/// Handover of a rack.

#ifndef EGRETSPINDLE_PROTOCOL_RACK_RELEASE_HPP
#define EGRETSPINDLE_PROTOCOL_RACK_RELEASE_HPP

#include <cstdint>
#include <string>
#include <vector>

namespace egretspindle
{

/// Age of the latest lease renewal of a target.
struct target_renewal
{
    std::string target;
    /// Time since the clock reading on which the renewal was based.
    std::int64_t age_ms = 0;
};

/// Visits the fields of `target_renewal` for the codec.
template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const target_renewal* /*tag*/)
{
    visit("target", value.target);
    visit("age_ms", value.age_ms);
}

/// Asks the former owner of a rack to stop renewing leases. The reply has the
/// same type; `released` confirms that it has stopped.
struct rack_release
{
    std::string rack;
    std::string data_center;
    std::int64_t epoch = 0; ///< of the new owner
    bool released = false;
    std::vector<target_renewal> renewals;
};

/// Visits the fields of `rack_release` for the codec.
template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const rack_release* /*tag*/)
{
    visit("rack", value.rack);
    visit("data_center", value.data_center);
    visit("epoch", value.epoch);
    visit("released", value.released);
    visit("renewals", value.renewals);
}

} // namespace egretspindle

#endif
