#include "egretspindle/rack/pressure_model.hpp"

#include <algorithm>

namespace egretspindle
{

namespace
{

// Share of the error that one observation corrects. Early observations count
// more, as there is nothing to forget.
constexpr double learning_rate = 0.06;
constexpr double first_rate = 0.5;
constexpr double base_rate = 0.01;
// Response times rise without bound under overload; a single one should not
// dominate the estimate.
constexpr double highest_ratio = 2.0;
// Assumed of a pair until it has been observed.
constexpr double unknown_per_core = 0.05;
// Observations, weighted by cores, that make a pair known.
constexpr double known_weight = 8.0;
constexpr double longest_memory = 100.0;

void add_to(std::map<image_pair, pair_pressure>& sums,
            const pair_pressure& item)
{
    pair_pressure& sum = sums[{item.serving, item.filling}];
    sum.per_core += item.per_core * item.weight;
    sum.weight += item.weight;
}

} // namespace

void observe_pressure(pressure_model& model, const std::string& serving,
                      const image_cores& company, double ratio)
{
    const double bounded = std::min(ratio, highest_ratio);
    if (company.empty())
    {
        model.base += base_rate * (bounded - model.base);
        return;
    }
    double predicted = model.base;
    double square = 1.0;
    for (const auto& [image, cores] : company)
    {
        predicted += model.own[{serving, image}].per_core * cores;
        square += cores * cores;
    }
    const double error = bounded - predicted;
    for (const auto& [image, cores] : company)
    {
        pair_pressure& item = model.own[{serving, image}];
        item.serving = serving;
        item.filling = image;
        const double rate =
            std::max(learning_rate, first_rate / (1.0 + item.weight));
        item.per_core += rate * error * cores / square;
        item.weight =
            std::min(item.weight + std::min(1.0, cores), longest_memory);
    }
}

void merge_pressures(pressure_model& model)
{
    model.merged.clear();
    for (const auto& [pair, item] : model.own)
    {
        add_to(model.merged, item);
    }
    for (const auto& [host, items] : model.others)
    {
        for (const pair_pressure& item : items)
        {
            add_to(model.merged, item);
        }
    }
    for (auto& [pair, item] : model.merged)
    {
        item.per_core =
            item.weight > 0 ? std::max(0.0, item.per_core / item.weight) : 0.0;
    }
}

double expected_pressure(const pressure_model& model,
                         const std::set<std::string>& serving,
                         const std::string& filling, double cores)
{
    double worst = 0;
    for (const std::string& image : serving)
    {
        const auto it = model.merged.find({image, filling});
        const double weight = it == model.merged.end() ? 0 : it->second.weight;
        const double known = it == model.merged.end() ? 0 : it->second.per_core;
        const double trust = std::min(1.0, weight / known_weight);
        worst =
            std::max(worst, trust * known + (1.0 - trust) * unknown_per_core);
    }
    return cores * worst;
}

bool are_known_pairs(const pressure_model& model,
                     const std::set<std::string>& serving,
                     const std::string& filling)
{
    return std::all_of(serving.begin(), serving.end(),
                       [&](const std::string& image)
                       {
                           const auto it = model.merged.find({image, filling});
                           return it != model.merged.end() &&
                                  it->second.weight >= known_weight;
                       });
}

std::vector<pair_pressure> learned_pressures(const pressure_model& model)
{
    std::vector<pair_pressure> items;
    for (const auto& [pair, item] : model.own)
    {
        items.push_back(item);
    }
    return items;
}

} // namespace egretspindle
