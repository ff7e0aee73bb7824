/// \file
/// Queued batch request.

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
    resources size;         ///< estimated if possible, else declared
    double expected_ms = 0; ///< estimated if possible, else declared
    int priority = 0;       ///< from the plan
    time_point enqueued;    ///< when it was first queued
    time_point not_before;  ///< earliest retry after a failed placement
};

} // namespace egretspindle

#endif
