/// \file
/// Waiting batch request.

#ifndef EGRETSPINDLE_ADMISSION_BATCH_ITEM_HPP
#define EGRETSPINDLE_ADMISSION_BATCH_ITEM_HPP

#include "egretspindle/core/clock.hpp"
#include "egretspindle/core/resources.hpp"

#include <string>

namespace egretspindle
{

/// Entry of the batch queue.
struct batch_item
{
    std::string key;
    std::string team;
    std::string kind;
    resources size;         ///< declared, or estimated when known
    double expected_ms = 0; ///< declared, or estimated when known
    int priority = 0;       ///< from the plan
    time_point enqueued;    ///< first time it was queued
    time_point not_before;  ///< set when an attempt to place it failed
};

} // namespace egretspindle

#endif
