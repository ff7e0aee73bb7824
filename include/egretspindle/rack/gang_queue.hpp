/// \file
/// Queued starts of gangs that a rack cannot place as they are.

#ifndef EGRETSPINDLE_RACK_GANG_QUEUE_HPP
#define EGRETSPINDLE_RACK_GANG_QUEUE_HPP

#include "egretspindle/rack/rack_decision.hpp"

#include <vector>

namespace egretspindle
{

/// Hands back the queued starts of gangs that wait in vain, each gang as a
/// whole, and removes them from the queue:
///
/// - a part of a gang that is split among several racks, after 1 s. The other
///   parts may be at work already, and their targets end them as `alone` after
///   3 s (`gangWaitMs` of the platform);
/// - a gang of which only some members are queued, after 2 s. The others were
///   started, handed back or stopped, and a gang is only placed as a whole;
/// - a gang that the owner of its job has asked for, see
///   `queued_start::is_overdue`, after 2 s, while its service is lightly used.
///
/// Starts that may have been carried out (`queued_start::is_repeated`) are left
/// in the queue, with their gang.
[[nodiscard]] std::vector<run_event> hand_back_gangs(rack_state& rack,
                                                     time_point now);

} // namespace egretspindle

#endif
