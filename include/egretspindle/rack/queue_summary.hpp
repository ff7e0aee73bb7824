/// \file
/// Summary of why the starts in the queue of a rack wait.

#ifndef EGRETSPINDLE_RACK_QUEUE_SUMMARY_HPP
#define EGRETSPINDLE_RACK_QUEUE_SUMMARY_HPP

#include "egretspindle/core/clock.hpp"
#include "egretspindle/rack/interference_model.hpp"
#include "egretspindle/rack/rack_state.hpp"

#include <cstddef>

namespace egretspindle
{

/// Numbers of queued starts by the reason why they wait. The reason is that of
/// the target that passes most checks; they are made in the order given here.
struct queue_summary
{
    std::size_t queued = 0;
    std::size_t long_running = 0; ///< of long-running tasks
    std::size_t repeated = 0;     ///< see `queued_start::is_repeated`
    milliseconds oldest{0};       ///< longest time in the queue
    std::size_t closed = 0;       ///< no target accepts starts
    std::size_t room = 0;       ///< too little capacity, other service or label
    std::size_t limit = 0;      ///< maximum of tasks of the step per target
    std::size_t processors = 0; ///< see `backfill_rejection`
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
