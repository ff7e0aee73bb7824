#include "egretspindle/core/outcome.hpp"

#include <array>
#include <utility>

namespace egretspindle
{

namespace
{

constexpr std::array<std::pair<outcome, std::string_view>, 7> names{{
    {outcome::done, "done"},
    {outcome::accepted, "accepted"},
    {outcome::running, "running"},
    {outcome::cancelled, "cancelled"},
    {outcome::failed, "failed"},
    {outcome::not_run, "not_run"},
    {outcome::unknown, "unknown"},
}};

} // namespace

std::string_view to_string(outcome value) noexcept
{
    for (const auto& [key, name] : names)
    {
        if (key == value)
        {
            return name;
        }
    }
    return "unknown";
}

outcome outcome_from(std::string_view name) noexcept
{
    for (const auto& [key, text] : names)
    {
        if (text == name)
        {
            return key;
        }
    }
    return outcome::unknown;
}

bool is_final(outcome value) noexcept
{
    return value != outcome::accepted && value != outcome::running;
}

} // namespace egretspindle
