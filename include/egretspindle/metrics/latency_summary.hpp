/// \file
/// Quantiles of a duration.

#ifndef EGRETSPINDLE_METRICS_LATENCY_SUMMARY_HPP
#define EGRETSPINDLE_METRICS_LATENCY_SUMMARY_HPP

#include "egretspindle/core/clock.hpp"

#include <array>
#include <chrono>
#include <cstdint>
#include <memory>
#include <ratio>

namespace egretspindle
{

/// Duration as summaries take it. Many calls on one rack take less than 1 ms.
using fractional_ms = std::chrono::duration<double, std::milli>;

/// Estimated quantiles of the recent past, and totals since the start.
struct latency_snapshot
{
    double p50 = 0;
    double p90 = 0;
    double p99 = 0;
    std::uint64_t count = 0; ///< since the start
    double sum = 0;          ///< since the start
};

/// Quantiles over the last one to two minutes. Usable from several threads.
///
/// Two estimators with overlapping windows take every observation; the one
/// with the longer history is reported.
class latency_summary
{
public:
    latency_summary();
    ~latency_summary();
    latency_summary(const latency_summary&) = delete;
    latency_summary& operator=(const latency_summary&) = delete;

    /// Records one duration.
    ///
    /// \param value  in the unit that the metric's name states
    void observe(double value, time_point now = steady_clock::now());

    /// Returns the quantiles; NaN while there is no recent observation.
    [[nodiscard]] latency_snapshot
    snapshot(time_point now = steady_clock::now()) const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace egretspindle

#endif
