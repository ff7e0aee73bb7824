/// \file
/// What keeps the starts in the queue of a rack waiting.

#ifndef EGRETSPINDLE_RACK_QUEUE_SUMMARY_HPP
#define EGRETSPINDLE_RACK_QUEUE_SUMMARY_HPP

#include "egretspindle/core/clock.hpp"
#include "egretspindle/rack/interference_model.hpp"
#include "egretspindle/rack/rack_state.hpp"

#include <cstddef>

namespace egretspindle
{

/// Starts in a queue by what the target that comes closest to taking them
/// lacks. The reasons are checked in this order.
struct queue_summary
{
    std::size_t queued = 0;
    std::size_t long_running = 0; ///< of tasks that last
    std::size_t repeated = 0;     ///< wait for the record of an earlier owner
    milliseconds oldest{0};       ///< time in the queue
    std::size_t closed = 0;       ///< no target accepts starts
    std::size_t room = 0;         ///< no room, or the wrong kind of target
    std::size_t limit = 0;        ///< most tasks of the step on each target
    std::size_t processors = 0;
    std::size_t reserved = 0;
    std::size_t headroom = 0;
    std::size_t placeable = 0; ///< would be placed now
};

/// Summarizes the queue of a rack.
[[nodiscard]] queue_summary summarize_queue(const rack_state& rack,
                                            const interference_model& model,
                                            time_point now);

} // namespace egretspindle

#endif
