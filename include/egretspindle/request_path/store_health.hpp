/// \file
/// Circuit breaker for the store on the urgent path.

#ifndef EGRETSPINDLE_REQUEST_PATH_STORE_HEALTH_HPP
#define EGRETSPINDLE_REQUEST_PATH_STORE_HEALTH_HPP

#include "egretspindle/core/clock.hpp"

#include <atomic>

namespace egretspindle
{

/// Tracks whether the store fails, so that urgent requests do not wait for a
/// store that is down or slow. While it fails, one call every 500 ms
/// (`retry_period_ms`) is let through.
class store_health
{
public:
    /// Returns whether the caller should call the store.
    [[nodiscard]] bool should_call(time_point now) noexcept
    {
        const std::int64_t now_ms = to_ms(now);
        std::int64_t retry_ms = retry_at_ms_.load();
        if (retry_ms == 0)
        {
            return true;
        }
        // Only the thread whose exchange succeeds calls the store.
        return now_ms >= retry_ms && retry_at_ms_.compare_exchange_strong(
                                         retry_ms, now_ms + retry_period_ms);
    }

    /// Records a call to which the store responded in time.
    void succeeded() noexcept
    {
        retry_at_ms_ = 0;
    }

    /// Records a call that failed or timed out.
    void failed(time_point now) noexcept
    {
        retry_at_ms_ = to_ms(now) + retry_period_ms;
    }

    /// Returns whether the store responded to the last call in time; true
    /// before the first call.
    [[nodiscard]] bool is_healthy() const noexcept
    {
        return retry_at_ms_ == 0;
    }

private:
    static constexpr std::int64_t retry_period_ms = 500;

    static std::int64_t to_ms(time_point value) noexcept
    {
        return std::chrono::duration_cast<milliseconds>(
                   value.time_since_epoch())
            .count();
    }

    std::atomic<std::int64_t> retry_at_ms_{0};
};

} // namespace egretspindle

#endif
