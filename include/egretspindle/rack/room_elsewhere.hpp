/// \file
/// Room of other racks that a host may hand queued starts to.

#ifndef EGRETSPINDLE_RACK_ROOM_ELSEWHERE_HPP
#define EGRETSPINDLE_RACK_ROOM_ELSEWHERE_HPP

#include "egretspindle/rack/fleet_load.hpp"
#include "egretspindle/rack/interference.hpp"

#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace egretspindle
{

/// Target of another rack that this host may count on.
struct offered_target
{
    target_entry entry;
    task_size room; ///< less what has been counted on
    target_mix mix;
};

/// Rack with targets that this host may count on.
struct offered_rack
{
    std::string rack;
    std::int64_t spare_cpu_milli = 0; ///< idle, and not wanted by its queue
    std::vector<offered_target> targets;
};

/// Room that this host may count on.
struct room_elsewhere
{
    std::vector<offered_rack> racks;
    /// How long the offer holds, and how long a start waits before it goes.
    milliseconds patience{0};
};

/// Returns the room that the starts of one host may count on.
///
/// All hosts see the same room. Each counts on a target with the probability
/// of its share of all queued work, so that together they count on each target
/// about once.
///
/// \param own  racks of this host
[[nodiscard]] room_elsewhere offer_room(const fleet_load& fleet,
                                        const std::set<std::string>& own,
                                        time_point now,
                                        std::minstd_rand& random);

/// Takes the room of a task, or of a whole gang, in a rack other than `rack`.
///
/// \returns whether there was room
[[nodiscard]] bool take_offer(room_elsewhere& offers,
                              const pressure_model& model,
                              const step_terms& terms, const std::string& rack);

} // namespace egretspindle

#endif
