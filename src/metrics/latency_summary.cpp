#include "egretspindle/metrics/latency_summary.hpp"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <algorithm>
#include <limits>
#include <mutex>
#include <vector>

namespace egretspindle
{

namespace
{

namespace acc = boost::accumulators;

// With few observations the P-square estimator returns its initial markers, so
// the first observations are stored and their quantiles computed exactly.
constexpr std::size_t max_exact_count = 128;

constexpr std::chrono::seconds window{60};
constexpr std::array<double, 3> probabilities{0.5, 0.9, 0.99};

using quantile_estimator =
    acc::accumulator_set<double, acc::stats<acc::tag::p_square_quantile>>;

/// Quantiles of the observations since `start`.
struct estimator
{
    time_point start;
    std::vector<double> initial_values;
    std::vector<quantile_estimator> quantiles;
    std::uint64_t count = 0;

    void reset(time_point now)
    {
        start = now;
        initial_values.clear();
        quantiles.clear();
        count = 0;
        for (const double p : probabilities)
        {
            quantiles.emplace_back(acc::quantile_probability = p);
        }
    }

    void observe(double value)
    {
        ++count;
        if (initial_values.size() < max_exact_count)
        {
            initial_values.push_back(value);
        }
        for (quantile_estimator& quantile : quantiles)
        {
            quantile(value);
        }
    }

    [[nodiscard]] double quantile(std::size_t index) const
    {
        if (count == 0)
        {
            return std::numeric_limits<double>::quiet_NaN();
        }
        if (count > max_exact_count)
        {
            return acc::p_square_quantile(quantiles[index]);
        }
        std::vector<double> sorted = initial_values;
        const auto rank = static_cast<std::size_t>(
            probabilities[index] * static_cast<double>(sorted.size() - 1));
        const auto nth = sorted.begin() + static_cast<std::ptrdiff_t>(rank);
        std::nth_element(sorted.begin(), nth, sorted.end());
        return *nth;
    }
};

} // namespace

struct latency_summary::impl
{
    mutable std::mutex mutex;
    std::array<estimator, 2> estimators; // guarded by mutex
    std::size_t older_index = 0;         // guarded by mutex
    std::uint64_t count = 0;             // guarded by mutex
    double sum = 0;                      // guarded by mutex

    // Restarts the windows that have expired. The caller holds the mutex.
    void rotate(time_point now)
    {
        if (now - estimators[older_index].start < 2 * window)
        {
            return;
        }
        estimators[older_index].reset(now);
        older_index = 1 - older_index;
        if (now - estimators[older_index].start >= 2 * window)
        {
            estimators[older_index].reset(now - window);
        }
    }
};

latency_summary::latency_summary() : impl_(std::make_unique<impl>())
{
    const time_point now = steady_clock::now();
    impl_->estimators[0].reset(now - window);
    impl_->estimators[1].reset(now);
}

latency_summary::~latency_summary() = default;

void latency_summary::observe(double value, time_point now)
{
    const std::lock_guard<std::mutex> lock(impl_->mutex);
    impl_->rotate(now);
    for (estimator& it : impl_->estimators)
    {
        it.observe(value);
    }
    ++impl_->count;
    impl_->sum += value;
}

latency_snapshot latency_summary::snapshot(time_point now) const
{
    const std::lock_guard<std::mutex> lock(impl_->mutex);
    impl_->rotate(now);
    const estimator& it = impl_->estimators[impl_->older_index];
    return {it.quantile(0), it.quantile(1), it.quantile(2), impl_->count,
            impl_->sum};
}

} // namespace egretspindle
