/// \file
/// What the former owner of a rack tells the new one about its leases.

#ifndef EGRETSPINDLE_RACK_RACK_HANDOVER_HPP
#define EGRETSPINDLE_RACK_RACK_HANDOVER_HPP

#include "egretspindle/rack/rack_state.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace egretspindle
{

/// Leases on a target.
struct handed_over_target
{
    std::string target;            ///< id
    std::int64_t remaining_ms = 0; ///< until all of them have expired
};

/// Visits the fields of `handed_over_target` for the codec.
template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value,
                  const handed_over_target* /*tag*/)
{
    visit("target", value.target);
    visit("remaining_ms", value.remaining_ms);
}

/// Message of an owner that has given a rack up and grants no leases any more.
/// Without it the new owner assumes that the former one grants leases for as
/// long as it might be allowed to.
struct rack_handover
{
    std::string rack;
    std::int64_t token = 0; ///< fencing token of the sender
    std::vector<handed_over_target> targets;
};

/// Visits the fields of `rack_handover` for the codec.
template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const rack_handover* /*tag*/)
{
    visit("rack", value.rack);
    visit("token", value.token);
    visit("targets", value.targets);
}

/// Reply to `rack_handover`.
struct rack_handover_reply
{
    bool is_owner = false; ///< the receiver has the rack; else send it again
};

/// Visits the fields of `rack_handover_reply` for the codec.
template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value,
                  const rack_handover_reply* /*tag*/)
{
    visit("owner", value.is_owner);
}

/// Returns the message of an owner that gives a rack up now.
[[nodiscard]] rack_handover make_handover(const rack_state& rack,
                                          time_point now);

/// Returns a message as it would be `elapsed` later.
[[nodiscard]] rack_handover age_handover(rack_handover handover,
                                         milliseconds elapsed);

/// Applies the message of the last earlier owner to the targets of the rack.
/// Has no effect if another owner sent it.
void apply_handover(rack_state& rack, const rack_handover& handover,
                    const lease_limits& limits, time_point now);

/// Returns the time until which a target that this owner has not reached may
/// run tasks of an earlier owner.
[[nodiscard]] time_point former_leases_end(const rack_state& rack,
                                           const rack_target& target);

} // namespace egretspindle

#endif
