/// \file
/// Quantiles of durations.

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

/// Duration in milliseconds with a fraction, since many calls within one rack
/// take less than 1 ms.
using fractional_ms = std::chrono::duration<double, std::milli>;

/// Estimated quantiles of recent observations, and totals since the summary was
/// created.
struct latency_snapshot
{
    double p50 = 0;
    double p90 = 0;
    double p99 = 0;
    std::uint64_t count = 0; ///< since creation
    double sum = 0;          ///< since creation
};

/// Quantiles over the last one to two minutes. Thread-safe.
///
/// Every observation is added to two estimators with overlapping windows; the
/// one whose window started earlier is reported.
class latency_summary
{
public:
    latency_summary();
    ~latency_summary();
    latency_summary(const latency_summary&) = delete;
    latency_summary& operator=(const latency_summary&) = delete;

    /// Records one duration.
    ///
    /// \param value  in the unit given by the metric's name
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
