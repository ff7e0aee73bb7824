#include "task_work.hpp"

#include <cstdio>
#include <sstream>

namespace egretspindle::standin
{

task_work work_of(const std::string& text, const std::string& task)
{
    int occurrence = 0;
    int step = 0;
    const std::size_t dot = task.find('.');
    if (dot == std::string::npos ||
        std::sscanf(task.c_str() + dot, ".%d.%d.", &occurrence, &step) != 2)
    {
        return {};
    }
    task_work work;
    char colon = ' ';
    std::istringstream in(text);
    for (; step >= 0; --step)
    {
        in >> work.cpu_milli >> colon >> work.duration_ms;
    }
    return in ? work : task_work{};
}

} // namespace egretspindle::standin
