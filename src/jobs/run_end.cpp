#include "egretspindle/jobs/run_end.hpp"

#include <array>
#include <utility>

namespace egretspindle
{

namespace
{

constexpr std::array<std::pair<run_end, std::string_view>, 8> run_end_names{{
    {run_end::done, "done"},
    {run_end::failed, "failed"},
    {run_end::stopped, "stopped"},
    {run_end::lapsed, "lapsed"},
    {run_end::broken, "broken"},
    {run_end::alone, "alone"},
    {run_end::lost, "lost"},
    {run_end::not_started, "not_started"},
}};

} // namespace

std::string_view to_string(run_end value) noexcept
{
    for (const auto& [item, name] : run_end_names)
    {
        if (item == value)
        {
            return name;
        }
    }
    return "lost";
}

run_end parse_run_end(std::string_view name) noexcept
{
    for (const auto& [item, text] : run_end_names)
    {
        if (text == name)
        {
            return item;
        }
    }
    return run_end::lost;
}

} // namespace egretspindle
