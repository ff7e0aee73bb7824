/// \file
/// Clock that also counts the time for which the machine was suspended.

#ifndef EGRETSPINDLE_CORE_BOOT_CLOCK_HPP
#define EGRETSPINDLE_CORE_BOOT_CLOCK_HPP

#include "egretspindle/core/clock.hpp"

#include <chrono>
#include <ctime>

namespace egretspindle
{

/// `CLOCK_BOOTTIME`. The steady clock stands still while a machine is
/// suspended, so a right that ends at a time must be measured on this one.
struct boot_clock
{
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock>;
    static constexpr bool is_steady = true;

    [[nodiscard]] static time_point now() noexcept
    {
        timespec value{};
        ::clock_gettime(CLOCK_BOOTTIME, &value);
        return time_point(std::chrono::seconds(value.tv_sec) +
                          duration(value.tv_nsec));
    }
};

using boot_time_point = boot_clock::time_point;

/// One moment on both clocks.
struct clock_reading
{
    time_point steady;
    boot_time_point boot;
};

/// Returns the current moment.
[[nodiscard]] inline clock_reading read_clocks() noexcept
{
    return {steady_clock::now(), boot_clock::now()};
}

} // namespace egretspindle

#endif
