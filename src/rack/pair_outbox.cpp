#include "egretspindle/rack/pair_outbox.hpp"

#include "egretspindle/rack/load_message.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace egretspindle
{

namespace
{

// Change of the estimate, in headroom lost per core, that is sent at once: a
// fifth of the distance between harmless pairs (0.02) and the threshold of
// harmful ones (0.035).
constexpr double min_sent_change = 0.003;
// Growth of the weight that is sent at once: a factor plus an offset in
// cores^2. The estimate changes in proportion to the logarithm of the weight;
// the prior has a weight of 30.
constexpr double min_sent_growth = 1.25;
constexpr double growth_offset = 5.0;
// Period at which unchanged pairs are sent again. If a third of the datagrams
// is lost, a pair that was sent three times has reached 96% of the hosts.
constexpr milliseconds refresh_period{30'000};

/// Pair that is due to be sent, with its sort key.
struct due_pair
{
    const pair_interference* item = nullptr;
    bool is_refresh = false;
    time_point sent_at;
};

bool is_changed(const sent_pair& sent, const pair_interference& item)
{
    const pair_interference before{"", "", sent.per_core, sent.weight};
    return std::abs(estimated_headroom_per_core(item) -
                    estimated_headroom_per_core(before)) > min_sent_change ||
           item.weight > sent.weight * min_sent_growth + growth_offset;
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
                 now - it->second.sent_at >= refresh_period)
        {
            due.push_back(
                {&item, !is_changed(it->second, item), it->second.sent_at});
        }
    }
    std::stable_sort(due.begin(), due.end(),
                     [](const due_pair& lhs, const due_pair& rhs)
                     {
                         return std::tie(lhs.is_refresh, lhs.sent_at) <
                                std::tie(rhs.is_refresh, rhs.sent_at);
                     });
    due.resize(std::min(due.size(), max_pairs_per_message));
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
