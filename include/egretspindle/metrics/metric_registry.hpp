/// \file
/// All metrics of a process.

#ifndef EGRETSPINDLE_METRICS_METRIC_REGISTRY_HPP
#define EGRETSPINDLE_METRICS_METRIC_REGISTRY_HPP

#include "egretspindle/metrics/counter.hpp"
#include "egretspindle/metrics/gauge.hpp"
#include "egretspindle/metrics/latency_summary.hpp"
#include "egretspindle/metrics/metric_labels.hpp"

#include <cstddef>
#include <memory>
#include <string>

namespace egretspindle
{

/// Creates metrics on first use and formats them for Prometheus.
///
/// References stay valid as long as the registry. A lookup locks a mutex, so
/// performance-critical code should keep the reference.
///
/// \code
/// counter& started = registry.get_counter(
///     "egretspindle_tasks_started_total", "Tasks started.",
///     {{"urgency", "urgent"}});
/// started.add();
/// \endcode
class metric_registry
{
public:
    /// \param max_series  limit on the number of label combinations; it bounds
    ///                    memory, since some label values come from callers
    explicit metric_registry(std::size_t max_series = 10'000);
    ~metric_registry();
    metric_registry(const metric_registry&) = delete;
    metric_registry& operator=(const metric_registry&) = delete;

    /// Returns the counter of the given name and labels.
    ///
    /// Above the limit on series, or if the name belongs to a metric of another
    /// type, the returned counter is not exported.
    [[nodiscard]] counter& get_counter(const std::string& name,
                                       const std::string& help,
                                       const metric_labels& labels = {});

    /// Returns the gauge of the given name and labels.
    [[nodiscard]] gauge& get_gauge(const std::string& name,
                                   const std::string& help,
                                   const metric_labels& labels = {});

    /// Returns the latency summary of the given name and labels.
    [[nodiscard]] latency_summary&
    get_summary(const std::string& name, const std::string& help,
                const metric_labels& labels = {});

    /// Formats all metrics in the Prometheus text format 0.0.4.
    [[nodiscard]] std::string
    prometheus_text(time_point now = steady_clock::now()) const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace egretspindle

#endif
