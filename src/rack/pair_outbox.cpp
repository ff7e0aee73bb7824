#include "egretspindle/rack/pair_outbox.hpp"

#include "egretspindle/rack/load_message.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace egretspindle
{

namespace
{

// A fifth of the distance between harmless pairs of the users' images (0.02)
// and the bound to harmful ones (0.035).
constexpr double noticeable_drop = 0.003;
// The estimate moves with the weight in proportion to its logarithm; the
// assumption that it starts from weighs 30.
constexpr double noticeable_growth = 1.25;
constexpr double least_growth = 5.0;
// When a third of the datagrams is lost, a pair that was sent three times has
// reached 96% of the hosts.
constexpr milliseconds refresh_period{30'000};

/// Pair that is to be sent, with its rank.
struct due_pair
{
    const pair_interference* item = nullptr;
    bool is_refresh = false;
    time_point sent_at;
};

bool is_changed(const sent_pair& sent, const pair_interference& item)
{
    const pair_interference before{"", "", sent.per_core, sent.weight};
    return std::abs(estimate_of(item) - estimate_of(before)) >
               noticeable_drop ||
           item.weight > sent.weight * noticeable_growth + least_growth;
}

} // namespace

std::vector<pair_interference> select_due_pairs(pair_outbox& outbox,
                                                const interference_model& model,
                                                time_point now)
{
    std::vector<due_pair> due;
    for (const auto& [pair, item] : model.own)
    {
        const auto it = outbox.sent.find(pair);
        if (it == outbox.sent.end())
        {
            due.push_back({&item, false, time_point{}});
        }
        else if (is_changed(it->second, item) ||
                 now - it->second.at >= refresh_period)
        {
            due.push_back(
                {&item, !is_changed(it->second, item), it->second.at});
        }
    }
    std::stable_sort(due.begin(), due.end(),
                     [](const due_pair& lhs, const due_pair& rhs)
                     {
                         return std::tie(lhs.is_refresh, lhs.sent_at) <
                                std::tie(rhs.is_refresh, rhs.sent_at);
                     });
    due.resize(std::min(due.size(), max_pairs));
    std::vector<pair_interference> pairs;
    pairs.reserve(due.size());
    for (const due_pair& next : due)
    {
        const pair_interference& item = *next.item;
        outbox.sent[{item.serving, item.backfill}] = {item.per_core,
                                                      item.weight, now};
        pairs.push_back(item);
    }
    return pairs;
}

void mark_all_due(pair_outbox& outbox)
{
    outbox.sent.clear();
}

} // namespace egretspindle
