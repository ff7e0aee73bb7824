#include "egretspindle/rack/interference_model.hpp"

#include <algorithm>
#include <atomic>
#include <cmath>

namespace egretspindle
{

namespace
{

// Prior of a pair: headroom lost per core, and its weight in cores^2, which is
// about that of two observed changes of four cores. Harmful pairs of the users'
// images lose 0.1 to 0.35 per core, harmless ones 0.02.
constexpr double assumed_per_core = 0.1;
constexpr double assumed_weight = 30.0;
// Headroom lost per core above which a pair counts as harmful. Harmless pairs
// of the users' images lose up to 0.02, harmful ones 0.05 and more.
constexpr double harmful_per_core = 0.035;
// Smallest change in cores to learn from. The effect of smaller ones is below
// the noise of response times.
constexpr double min_cores_changed = 0.3;
// Time between two observations at which a change counts half. Over longer
// times the load of the users changes more.
constexpr double half_weight_ms = 500.0;
// Upper limit of the weight of a pair in cores^2, so that new observations
// still count when its interference changes.
constexpr double max_weight = 4'000.0;
// Step size and level of the running estimate of the 5% quantile of the
// headroom without backfill tasks.
constexpr double quantile_step = 0.02;
constexpr double quantile = 0.05;
// Minimum time between merges. With 43 hosts and 180 pairs a merge takes about
// 8,000 additions, and a pair is learned over tens of seconds.
constexpr milliseconds merge_period{1'000};

void add_to(std::map<image_pair, pair_interference>& sums,
            const pair_interference& item)
{
    pair_interference& sum = sums[{item.serving, item.backfill}];
    sum.serving = item.serving;
    sum.backfill = item.backfill;
    sum.per_core += item.per_core * item.weight;
    sum.weight += item.weight;
}

pair_effect effect_of(const pair_interference& item)
{
    const double per_core = estimated_headroom_per_core(item);
    return {per_core, per_core > harmful_per_core};
}

// Returns the effect of a pair that has not been observed.
const pair_effect& assumed_effect()
{
    static const pair_effect effect = effect_of(pair_interference{});
    return effect;
}

// Assigns the next position to an image that has none yet.
void add_position(std::vector<std::size_t>& positions, std::size_t& count,
                  const image_name& image)
{
    positions.resize(std::max(positions.size(), image.number() + 1));
    std::size_t& position = positions[image.number()];
    if (position == 0)
    {
        position = ++count;
    }
}

interference_table
make_table(const std::map<image_pair, pair_interference>& merged)
{
    interference_table table;
    std::size_t height = 0;
    for (const auto& [pair, item] : merged)
    {
        add_position(table.rows, height, pair.first);
        add_position(table.columns, table.width, pair.second);
    }
    table.effects.assign(height * table.width, assumed_effect());
    for (const auto& [pair, item] : merged)
    {
        const std::size_t row = table.rows[pair.first.number()] - 1;
        const std::size_t column = table.columns[pair.second.number()] - 1;
        table.effects[row * table.width + column] = effect_of(item);
    }
    return table;
}

const pair_effect& effect_of(const interference_model& model,
                             const image_name& serving,
                             const image_name& backfill)
{
    const pair_effect* known = find_effect(model.table, serving, backfill);
    return known == nullptr ? assumed_effect() : *known;
}

std::uint64_t next_version()
{
    static std::atomic<std::uint64_t> latest{0};
    return ++latest;
}

std::map<image_name, double>
measure_harmed_shares(const interference_model& model)
{
    std::map<image_name, std::pair<int, int>> counts; // harmed, known
    for (const auto& [pair, item] : model.merged)
    {
        const auto& [serving, backfill] = pair;
        auto& [harmed, known] = counts[backfill];
        harmed += is_harmful_pair(model, serving, backfill) ? 1 : 0;
        ++known;
    }
    std::map<image_name, double> harmed_share;
    for (const auto& [image, count] : counts)
    {
        harmed_share[image] = static_cast<double>(count.first) /
                              static_cast<double>(count.second);
    }
    return harmed_share;
}

} // namespace

void observe_change(interference_model& model, const image_name& serving,
                    const image_cores& change, double headroom_change,
                    milliseconds duration)
{
    const double relative_duration =
        static_cast<double>(duration.count()) / half_weight_ms;
    const double certainty =
        1.0 / (1.0 + relative_duration * relative_duration);
    double predicted = 0;
    for (const auto& [image, cores] : change)
    {
        predicted += expected_headroom_drop(model, serving, image, cores);
    }
    for (const auto& [image, cores] : change)
    {
        if (std::abs(cores) < min_cores_changed)
        {
            continue;
        }
        const double drop_by_others =
            predicted - expected_headroom_drop(model, serving, image, cores);
        const double drop = -headroom_change - drop_by_others;
        pair_interference& item = model.own[{serving, image}];
        item.serving = serving;
        item.backfill = image;
        const double weight = certainty * cores * cores;
        item.per_core =
            (item.per_core * item.weight + certainty * cores * drop) /
            (item.weight + weight);
        item.weight = std::min(item.weight + weight, max_weight);
        model.is_changed = true;
    }
}

void observe_headroom(interference_model& model,
                      double headroom_without_backfill)
{
    model.baseline_headroom_p5 +=
        headroom_without_backfill < model.baseline_headroom_p5
            ? -quantile_step
            : quantile_step * quantile;
}

void update_peer_interference(interference_model& model,
                              const std::string& host, std::int64_t boot,
                              const std::vector<pair_interference>& pairs)
{
    host_interference& known = model.others[host];
    if (known.boot != boot)
    {
        known.boot = boot;
        known.pairs.clear();
    }
    for (const pair_interference& item : pairs)
    {
        known.pairs[{item.serving, item.backfill}] = item;
    }
    model.is_changed = true;
}

void merge_interference(interference_model& model)
{
    model.merged.clear();
    for (const auto& [pair, item] : model.own)
    {
        add_to(model.merged, item);
    }
    for (const auto& [host, learned] : model.others)
    {
        for (const auto& [pair, item] : learned.pairs)
        {
            add_to(model.merged, item);
        }
    }
    for (auto& [pair, item] : model.merged)
    {
        item.per_core = item.weight > 0 ? item.per_core / item.weight : 0.0;
    }
    model.table = make_table(model.merged);
    model.harmed_share = measure_harmed_shares(model);
    model.version = next_version();
    model.is_changed = false;
}

bool merge_interference_if_due(interference_model& model, time_point now)
{
    if (!model.is_changed || now - model.merged_at < merge_period)
    {
        return false;
    }
    merge_interference(model);
    model.merged_at = now;
    return true;
}

interference_model copy_merged_model(const interference_model& model)
{
    interference_model part;
    part.baseline_headroom_p5 = model.baseline_headroom_p5;
    part.merged = model.merged;
    part.table = model.table;
    part.harmed_share = model.harmed_share;
    part.version = model.version;
    return part;
}

double estimated_headroom_per_core(const pair_interference& item)
{
    const double total =
        item.per_core * item.weight + assumed_per_core * assumed_weight;
    return std::max(0.0, total / (item.weight + assumed_weight));
}

bool is_harmful_pair(const interference_model& model, const image_name& serving,
                     const image_name& backfill)
{
    return effect_of(model, serving, backfill).is_harmful;
}

double expected_headroom_drop(const interference_model& model,
                              const image_name& serving,
                              const image_name& backfill, double cores)
{
    return cores * effect_of(model, serving, backfill).per_core;
}

double harmed_share_of(const interference_model& model,
                       const image_name& backfill)
{
    const auto it = model.harmed_share.find(backfill);
    return it == model.harmed_share.end() ? 1.0 : it->second;
}

} // namespace egretspindle
