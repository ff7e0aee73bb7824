/// \file
/// Summary of the ends that targets list until they are acknowledged.

#ifndef EGRETSPINDLE_RACK_END_LIST_SUMMARY_HPP
#define EGRETSPINDLE_RACK_END_LIST_SUMMARY_HPP

#include "egretspindle/core/clock.hpp"
#include "egretspindle/rack/order_sequence.hpp"
#include "egretspindle/rack/rack_state.hpp"

#include <cstddef>
#include <string>

namespace egretspindle
{

/// Target that lists ends which are not acknowledged.
struct waiting_end_list
{
    std::string rack;
    std::string target; ///< id; empty: none
    std::size_t ends = 0;
    milliseconds waited{0}; ///< since its oldest end is the oldest
    ack_blocker reason = ack_blocker::none;
};

/// Lists of ends of the targets of a host.
struct end_list_summary
{
    std::size_t longest = 0; ///< number of ends in the longest list
    /// Targets that get no starts since their lists are full; see
    /// `has_room_for_end`.
    std::size_t full = 0;
    waiting_end_list oldest; ///< the one that has waited longest
};

/// Adds the targets of a rack to a summary.
void add_end_lists(end_list_summary& summary, const rack_state& rack,
                   time_point now);

} // namespace egretspindle

#endif
