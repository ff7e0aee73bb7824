/// \file
/// Monotonic counter.

#ifndef EGRETSPINDLE_METRICS_COUNTER_HPP
#define EGRETSPINDLE_METRICS_COUNTER_HPP

#include <atomic>
#include <cstdint>

namespace egretspindle
{

/// Number of events. Thread-safe and lock-free.
class counter
{
public:
    /// Adds `n` events.
    void add(std::uint64_t n = 1) noexcept
    {
        value_.fetch_add(n, std::memory_order_relaxed);
    }

    [[nodiscard]] std::uint64_t value() const noexcept
    {
        return value_.load(std::memory_order_relaxed);
    }

private:
    std::atomic<std::uint64_t> value_{0};
};

} // namespace egretspindle

#endif
