/// \file
/// State of a target.

#ifndef EGRETSPINDLE_ADAPTERS_TARGET_STATE_HPP
#define EGRETSPINDLE_ADAPTERS_TARGET_STATE_HPP

#include "egretspindle/adapters/task_state.hpp"
#include "egretspindle/adapters/task_usage.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace egretspindle
{

/// State of a target, as returned by `renew` and `state`.
struct target_state
{
    std::int64_t clock_ms = 0; ///< target's clock
    std::string boot_id;       ///< changes with each restart of the target
    std::int64_t epoch = 0;    ///< highest seen
    std::int64_t term = 0;     ///< highest seen
    int slots = 0;
    int connections = 0;
    double cpu_cores = 0;
    double memory_mb = 0;
    int accelerators = 0;
    /// Running and unacknowledged, without answers.
    std::vector<task_state> tasks;
    std::vector<task_usage> usage; ///< measured, lags behind
};

/// Visits the fields of `target_state` for the codec.
template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const target_state* /*tag*/)
{
    visit("clock_ms", value.clock_ms);
    visit("boot_id", value.boot_id);
    visit("epoch", value.epoch);
    visit("term", value.term);
    visit("slots", value.slots);
    visit("connections", value.connections);
    visit("cpu_cores", value.cpu_cores);
    visit("memory_mb", value.memory_mb);
    visit("accelerators", value.accelerators);
    visit("tasks", value.tasks);
    visit("usage", value.usage);
}

} // namespace egretspindle

#endif
