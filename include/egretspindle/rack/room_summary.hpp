/// \file
/// Summary of the free processors of racks.

#ifndef EGRETSPINDLE_RACK_ROOM_SUMMARY_HPP
#define EGRETSPINDLE_RACK_ROOM_SUMMARY_HPP

#include "egretspindle/core/clock.hpp"
#include "egretspindle/rack/rack_state.hpp"

#include <cstdint>

namespace egretspindle
{

/// Processors of the targets that accept starts, in thousandths.
struct room_summary
{
    std::int64_t total_milli = 0;
    std::int64_t free_milli = 0;
    std::int64_t largest_free_milli = 0; ///< of one target
};

/// Adds the targets of a rack to a summary.
void add_room(room_summary& sum, const rack_state& rack, time_point now);

} // namespace egretspindle

#endif
