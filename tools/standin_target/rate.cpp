#include "rate.hpp"

#include <algorithm>

namespace egretspindle::standin
{

double rate_of(const task& value, absl::Span<const task_ptr> running,
               const target_options& options)
{
    double used = 0;
    double others = 0;
    double weighted = 0;
    for (const task_ptr& it : running)
    {
        const double cores = cores_of(*it, options.has_guards);
        used += cores;
        if (it.get() == &value)
        {
            continue;
        }
        others += cores;
        const auto pair =
            options.interference.find({value.command.kind, it->command.kind});
        if (pair != options.interference.end())
        {
            weighted += pair->second * cores;
        }
    }
    const double total = std::max(options.capacity.cpu_cores, 1e-9);
    const double load = std::min(1.0, used / total);
    const double slowdown = others > 0 ? 1 + load * weighted / others : 1;
    const double contention = std::max(1.0, used / total);
    const double own =
        value.load.cpu > 0
            ? cores_of(value, options.has_guards) / value.load.cpu
            : value.share;
    return own / (slowdown * contention);
}

} // namespace egretspindle::standin
