/// \file
/// Rate limit for log lines whose number depends on callers or faults.

#ifndef EGRETSPINDLE_LOGGING_LOG_RATE_LIMIT_HPP
#define EGRETSPINDLE_LOGGING_LOG_RATE_LIMIT_HPP

#include "egretspindle/core/clock.hpp"

#include <atomic>
#include <cstdint>
#include <optional>

namespace egretspindle
{

/// Permits one line per period. Thread-safe.
class log_rate_limit
{
public:
    explicit log_rate_limit(milliseconds period) noexcept : period_(period) {}

    /// Requests permission to write a line.
    ///
    /// \returns the number of lines suppressed since the last permitted one, or
    ///          nothing if the line must not be written
    [[nodiscard]] std::optional<std::int64_t>
    try_acquire(time_point now = steady_clock::now()) noexcept
    {
        const std::int64_t at = now.time_since_epoch().count();
        std::int64_t next_permitted =
            next_permitted_.load(std::memory_order_relaxed);
        const std::int64_t next = (now + period_).time_since_epoch().count();
        if (at < next_permitted ||
            !next_permitted_.compare_exchange_strong(next_permitted, next,
                                                     std::memory_order_relaxed))
        {
            suppressed_.fetch_add(1, std::memory_order_relaxed);
            return std::nullopt;
        }
        return suppressed_.exchange(0, std::memory_order_relaxed);
    }

private:
    const milliseconds period_;
    std::atomic<std::int64_t> next_permitted_{0};
    std::atomic<std::int64_t> suppressed_{0};
};

} // namespace egretspindle

#endif
