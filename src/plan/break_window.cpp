#include "egretspindle/plan/break_section.hpp"

#include <algorithm>

namespace egretspindle
{

bool is_in_window(const break_window& window, std::int64_t unix_ms) noexcept
{
    const std::int64_t minute = unix_ms / 60'000 % (24 * 60);
    if (window.from_minute < window.to_minute)
    {
        return minute >= window.from_minute && minute < window.to_minute;
    }
    return minute >= window.from_minute || minute < window.to_minute;
}

bool is_in_break(const break_section& section, std::int64_t unix_ms) noexcept
{
    return std::any_of(section.windows.begin(), section.windows.end(),
                       [unix_ms](const break_window& window)
                       { return is_in_window(window, unix_ms); });
}

} // namespace egretspindle
