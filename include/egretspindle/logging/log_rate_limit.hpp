/// \file
/// Bound on lines whose number callers or faults determine.

#ifndef EGRETSPINDLE_LOGGING_LOG_RATE_LIMIT_HPP
#define EGRETSPINDLE_LOGGING_LOG_RATE_LIMIT_HPP

#include "egretspindle/core/clock.hpp"

#include <atomic>
#include <cstdint>
#include <optional>

namespace egretspindle
{

/// Lets one line of a kind through per period. Usable from several threads.
class log_rate_limit
{
public:
    explicit log_rate_limit(milliseconds period) noexcept : period_(period) {}

    /// Asks whether a line may be written.
    ///
    /// \returns the lines left out since the last one; none: leave it out
    [[nodiscard]] std::optional<std::int64_t>
    try_acquire(time_point now = steady_clock::now()) noexcept
    {
        const std::int64_t at = now.time_since_epoch().count();
        std::int64_t due = due_.load(std::memory_order_relaxed);
        const std::int64_t next = (now + period_).time_since_epoch().count();
        if (at < due ||
            !due_.compare_exchange_strong(due, next, std::memory_order_relaxed))
        {
            left_out_.fetch_add(1, std::memory_order_relaxed);
            return std::nullopt;
        }
        return left_out_.exchange(0, std::memory_order_relaxed);
    }

private:
    const milliseconds period_;
    std::atomic<std::int64_t> due_{0};
    std::atomic<std::int64_t> left_out_{0};
};

} // namespace egretspindle

#endif
