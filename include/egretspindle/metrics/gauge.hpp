/// \file
/// Metric that can increase and decrease.

#ifndef EGRETSPINDLE_METRICS_GAUGE_HPP
#define EGRETSPINDLE_METRICS_GAUGE_HPP

#include <atomic>

namespace egretspindle
{

/// Current value of a quantity. Thread-safe and lock-free.
class gauge
{
public:
    void set(double value) noexcept
    {
        value_.store(value, std::memory_order_relaxed);
    }

    /// Adds a difference, which may be negative.
    void add(double difference) noexcept
    {
        double seen = value_.load(std::memory_order_relaxed);
        while (!value_.compare_exchange_weak(seen, seen + difference,
                                             std::memory_order_relaxed))
        {
        }
    }

    [[nodiscard]] double value() const noexcept
    {
        return value_.load(std::memory_order_relaxed);
    }

private:
    std::atomic<double> value_{0};
};

} // namespace egretspindle

#endif
