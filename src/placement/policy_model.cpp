#include "egretspindle/placement/policy_model.hpp"

#include "model_access.hpp"

#include <algorithm>
#include <cmath>

namespace egretspindle
{

namespace
{

// A cell of another host counts as at most this many own samples.
constexpr double max_peer_weight = 20;
// Weight of the prior in samples. Two to five noisy samples are needed to
// distinguish a slowdown of 0.2 from none.
constexpr double prior_weight = 3;

/// Returns the decay of a weight with a half-life of one hour.
double decay_factor(time_point updated, time_point now)
{
    const double hours =
        std::chrono::duration<double, std::ratio<3600>>(now - updated).count();
    // Skips the computation within a second of the last sample.
    return hours < 1.0 / 3600 ? 1 : std::exp2(-hours);
}

void merge_estimate(policy_model& model, const kind_estimate& from,
                    time_point now)
{
    const std::size_t n = detail::add_kind(model, from.kind);
    if (n == 0)
    {
        return;
    }
    kind_estimate& to = model.kinds[n];
    to.peak.cpu_cores = std::max(to.peak.cpu_cores, from.peak.cpu_cores);
    to.peak.memory_mb = std::max(to.peak.memory_mb, from.peak.memory_mb);
    if (to.ends < from.ends)
    {
        // The estimate with more results is kept.
        to.run_ms = from.run_ms;
        to.base_ms = from.base_ms;
        to.tail_ms = from.tail_ms;
        to.ends = from.ends;
    }
    to.reports = std::max(to.reports, from.reports);
    to.urgent = to.urgent || from.urgent;
    to.updated = now;
}

} // namespace

std::size_t detail::add_kind(policy_model& model, std::string_view kind)
{
    if (model.kinds.empty())
    {
        model.kinds.emplace_back();
        model.cells.resize(1);
        model.urgent_rate.resize(1);
    }
    const auto it = model.index.find(kind);
    if (it != model.index.end())
    {
        return it->second;
    }
    if (model.kinds.size() > max_kinds)
    {
        return 0;
    }
    const std::size_t n = model.kinds.size();
    std::vector<interference_cell> cells((n + 1) * (n + 1));
    for (std::size_t row = 0; row < n; ++row)
    {
        std::copy_n(model.cells.begin() + row * n, n,
                    cells.begin() + row * (n + 1));
    }
    model.cells = std::move(cells);
    model.kinds.emplace_back();
    model.kinds.back().kind = std::string(kind);
    model.urgent_rate.resize(n + 1);
    model.index.emplace(std::string(kind), n);
    return n;
}

std::size_t detail::load_band(double load) noexcept
{
    // Interference rises steeply when caches and memory channels are saturated,
    // so the bands are narrower at high load.
    if (load < 0.45)
    {
        return 0;
    }
    return load < 0.75 ? 1 : 2;
}

std::size_t kind_index(const policy_model& model, std::string_view kind)
{
    const auto it = model.index.find(kind);
    return it == model.index.end() ? 0 : it->second;
}

const kind_estimate* find_estimate(const policy_model& model,
                                   std::string_view kind)
{
    const std::size_t n = kind_index(model, kind);
    return n == 0 ? nullptr : &model.kinds[n];
}

double slowdown_by(const policy_model& model, std::size_t kind,
                   std::size_t other, double load, time_point now)
{
    if (kind >= model.kinds.size() || other >= model.kinds.size())
    {
        return detail::prior_slowdown;
    }
    const interference_cell& cell =
        model.cells[kind * model.kinds.size() + other];
    const std::size_t band = detail::load_band(load);
    double sum = prior_weight * detail::prior_slowdown;
    double weight = prior_weight;
    const double decay = decay_factor(cell.updated, now);
    for (std::size_t n = 0; n < load_band_count; ++n)
    {
        // Samples of other bands count less; they matter where the band itself
        // has few.
        const std::size_t gap = n > band ? n - band : band - n;
        const double share = gap == 0 ? 1 : gap == 1 ? 0.1 : 0.02;
        const double w = share * decay * cell.weight[n];
        sum += w * cell.slowdown[n];
        weight += w;
    }
    return sum / weight;
}

model_summary to_summary(const policy_model& model, std::size_t max_cells)
{
    model_summary summary;
    const std::size_t size = model.kinds.size();
    std::vector<std::pair<double, std::size_t>> known;
    for (std::size_t n = 1; n < size; ++n)
    {
        summary.estimates.push_back(model.kinds[n]);
    }
    for (std::size_t n = 0; n < model.cells.size(); ++n)
    {
        double weight = 0;
        for (const double w : model.cells[n].weight)
        {
            weight += w;
        }
        if (weight >= 5 && n / size != 0 && n % size != 0)
        {
            known.emplace_back(-weight, n);
        }
    }
    std::sort(known.begin(), known.end());
    known.resize(std::min(known.size(), max_cells));
    for (const auto& [weight, n] : known)
    {
        const interference_cell& cell = model.cells[n];
        interference_summary entry;
        entry.kind = model.kinds[n / size].kind;
        entry.other_kind = model.kinds[n % size].kind;
        entry.slowdowns.assign(cell.slowdown.begin(), cell.slowdown.end());
        entry.weights.assign(cell.weight.begin(), cell.weight.end());
        summary.interference.push_back(std::move(entry));
    }
    return summary;
}

void merge_summary(policy_model& model, const model_summary& summary,
                   time_point now)
{
    for (const kind_estimate& estimate : summary.estimates)
    {
        merge_estimate(model, estimate, now);
    }
    for (const interference_summary& entry : summary.interference)
    {
        const std::size_t row = detail::add_kind(model, entry.kind);
        const std::size_t column = detail::add_kind(model, entry.other_kind);
        if (row == 0 || column == 0 ||
            entry.slowdowns.size() != load_band_count ||
            entry.weights.size() != load_band_count)
        {
            continue;
        }
        interference_cell& cell =
            model.cells[row * model.kinds.size() + column];
        for (std::size_t n = 0; n < load_band_count; ++n)
        {
            const double weight = std::min(entry.weights[n], max_peer_weight);
            if (cell.weight[n] < weight)
            {
                cell.slowdown[n] =
                    std::clamp(entry.slowdowns[n], 0.0, detail::max_slowdown);
                cell.weight[n] = weight;
                cell.updated = now;
            }
        }
    }
}

} // namespace egretspindle
