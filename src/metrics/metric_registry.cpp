#include "egretspindle/metrics/metric_registry.hpp"

#include <fmt/format.h>

#include <array>
#include <cmath>
#include <iterator>
#include <mutex>
#include <variant>

namespace egretspindle
{

namespace
{

using metric = std::variant<std::unique_ptr<counter>, std::unique_ptr<gauge>,
                            std::unique_ptr<latency_summary>>;

/// All series of one metric name.
struct family
{
    std::string help;
    std::size_t type = 0; ///< index into `metric`
    std::map<metric_labels, metric> series;
};

std::string escape(std::string_view text, bool with_quotes)
{
    std::string out;
    for (const char c : text)
    {
        if (c == '\n')
        {
            out += "\\n";
        }
        else if (c == '\\' || (with_quotes && c == '"'))
        {
            out += '\\';
            out += c;
        }
        else
        {
            out += c;
        }
    }
    return out;
}

std::string format_labels(const metric_labels& labels,
                          std::string_view quantile = {})
{
    std::string out;
    for (const auto& [name, value] : labels)
    {
        out += fmt::format("{}{}=\"{}\"", out.empty() ? "" : ",", name,
                           escape(value, true));
    }
    if (!quantile.empty())
    {
        out +=
            fmt::format("{}quantile=\"{}\"", out.empty() ? "" : ",", quantile);
    }
    return out.empty() ? out : "{" + out + "}";
}

// A double above it has at most 3 decimals in any case.
constexpr double max_rounded = 1e13;

// Formats a number with at most 3 decimals, 6 below 1. A duration in
// milliseconds with all 17 digits would take more of the network than its
// precision is worth: the text is read every 15 s.
std::string format_number(double value)
{
    if (std::isnan(value))
    {
        return "NaN";
    }
    if (std::isinf(value))
    {
        return value > 0 ? "+Inf" : "-Inf";
    }
    const double magnitude = std::abs(value);
    if (magnitude < max_rounded)
    {
        const double scale = magnitude < 1 ? 1e6 : 1e3;
        value = std::round(value * scale) / scale;
    }
    return fmt::format("{}", value);
}

void append(std::string& out, const std::string& name,
            const metric_labels& labels, const metric& item, time_point now)
{
    const auto to = std::back_inserter(out);
    if (const auto* count = std::get_if<std::unique_ptr<counter>>(&item))
    {
        fmt::format_to(to, "{}{} {}\n", name, format_labels(labels),
                       (*count)->value());
        return;
    }
    if (const auto* value = std::get_if<std::unique_ptr<gauge>>(&item))
    {
        fmt::format_to(to, "{}{} {}\n", name, format_labels(labels),
                       format_number((*value)->value()));
        return;
    }
    const latency_snapshot values =
        std::get<std::unique_ptr<latency_summary>>(item)->snapshot(now);
    fmt::format_to(to, "{}{} {}\n", name, format_labels(labels, "0.5"),
                   format_number(values.p50));
    fmt::format_to(to, "{}{} {}\n", name, format_labels(labels, "0.9"),
                   format_number(values.p90));
    fmt::format_to(to, "{}{} {}\n", name, format_labels(labels, "0.99"),
                   format_number(values.p99));
    fmt::format_to(to, "{}_sum{} {}\n", name, format_labels(labels),
                   format_number(values.sum));
    fmt::format_to(to, "{}_count{} {}\n", name, format_labels(labels),
                   values.count);
}

constexpr std::array<std::string_view, 3> type_names{"counter", "gauge",
                                                     "summary"};

} // namespace

struct metric_registry::impl
{
    explicit impl(std::size_t limit) : max_series(limit) {}

    template <typename T>
    T& get(const std::string& name, const std::string& help,
           const metric_labels& labels, T& fallback)
    {
        const metric empty = std::unique_ptr<T>();
        const std::lock_guard<std::mutex> lock(mutex);
        const auto [entry, is_new] =
            families.try_emplace(name, family{help, empty.index(), {}});
        family& group = entry->second;
        const auto it = group.series.find(labels);
        if (group.type == empty.index() && it != group.series.end())
        {
            return *std::get<std::unique_ptr<T>>(it->second);
        }
        if (group.type != empty.index() || series_count >= max_series)
        {
            dropped.add();
            return fallback;
        }
        ++series_count;
        metric& item = group.series[labels];
        item = std::make_unique<T>();
        return *std::get<std::unique_ptr<T>>(item);
    }

    const std::size_t max_series;
    mutable std::mutex mutex;
    std::map<std::string, family> families; // guarded by mutex
    std::size_t series_count = 0;           // guarded by mutex
    counter dropped;
    counter fallback_counter;
    gauge fallback_gauge;
    latency_summary fallback_summary;
};

metric_registry::metric_registry(std::size_t max_series)
    : impl_(std::make_unique<impl>(max_series))
{
}

metric_registry::~metric_registry() = default;

counter& metric_registry::get_counter(const std::string& name,
                                      const std::string& help,
                                      const metric_labels& labels)
{
    return impl_->get(name, help, labels, impl_->fallback_counter);
}

gauge& metric_registry::get_gauge(const std::string& name,
                                  const std::string& help,
                                  const metric_labels& labels)
{
    return impl_->get(name, help, labels, impl_->fallback_gauge);
}

latency_summary& metric_registry::get_summary(const std::string& name,
                                              const std::string& help,
                                              const metric_labels& labels)
{
    return impl_->get(name, help, labels, impl_->fallback_summary);
}

std::string metric_registry::prometheus_text(time_point now) const
{
    std::string out;
    const std::lock_guard<std::mutex> lock(impl_->mutex);
    for (const auto& [name, group] : impl_->families)
    {
        fmt::format_to(std::back_inserter(out), "# HELP {} {}\n# TYPE {} {}\n",
                       name, escape(group.help, false), name,
                       type_names[group.type]);
        for (const auto& [labels, item] : group.series)
        {
            append(out, name, labels, item, now);
        }
    }
    fmt::format_to(std::back_inserter(out),
                   "# HELP egretspindle_metrics_dropped_total Lookups above "
                   "the bound on series or with another type.\n"
                   "# TYPE egretspindle_metrics_dropped_total counter\n"
                   "egretspindle_metrics_dropped_total {}\n",
                   impl_->dropped.value());
    return out;
}

} // namespace egretspindle
