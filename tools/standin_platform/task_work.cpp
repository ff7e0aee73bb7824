#include "task_work.hpp"

#include <cstdlib>
#include <sstream>

namespace egretspindle::standin
{

namespace
{

// Returns the number before the last one of a name such as ID.0.STEP.INDEX.
long step_of(const std::string& task)
{
    const std::size_t last = task.rfind('.');
    const std::size_t first =
        last == std::string::npos || last == 0 ? last
                                               : task.rfind('.', last - 1);
    return first == std::string::npos
               ? 0
               : std::strtol(task.c_str() + first + 1, nullptr, 10);
}

} // namespace

task_work work_of(const std::string& text, const std::string& task)
{
    std::istringstream in(text);
    std::string item;
    task_work work;
    for (long step = step_of(task); step >= 0 && in >> item; --step)
    {
        const std::size_t colon = item.find(':');
        if (step == 0 && colon != std::string::npos)
        {
            work.cpu_milli = std::strtol(item.c_str(), nullptr, 10);
            work.duration_ms =
                std::strtol(item.c_str() + colon + 1, nullptr, 10);
        }
    }
    return work;
}

} // namespace egretspindle::standin
