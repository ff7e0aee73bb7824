/// \file
/// Measured resource usage of a task.

#ifndef EGRETSPINDLE_ADAPTERS_TASK_USAGE_HPP
#define EGRETSPINDLE_ADAPTERS_TASK_USAGE_HPP

#include <cstdint>
#include <string>

namespace egretspindle
{

/// Measured resource usage of a task. The measurement lags behind.
struct task_usage
{
    std::string key;
    int attempt = 0;
    double cpu_cores = 0;
    double memory_mb = 0;
    /// Speed relative to running alone on the target; 0 when unknown.
    double progress = 0;
};

/// Visits the fields of `task_usage` for the codec.
template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const task_usage* /*tag*/)
{
    visit("key", value.key);
    visit("attempt", value.attempt);
    visit("cpu_cores", value.cpu_cores);
    visit("memory_mb", value.memory_mb);
    visit("progress", value.progress);
}

} // namespace egretspindle

#endif
