/// \file
/// Selects the learned interference of image pairs that is sent to other hosts
/// next.

#ifndef EGRETSPINDLE_RACK_PAIR_OUTBOX_HPP
#define EGRETSPINDLE_RACK_PAIR_OUTBOX_HPP

#include "egretspindle/core/clock.hpp"
#include "egretspindle/rack/interference_model.hpp"

#include <map>
#include <vector>

namespace egretspindle
{

/// Values of a pair when it was last sent; see `pair_interference`.
struct sent_pair
{
    double per_core = 0;
    double weight = 0;
    time_point sent_at;
};

/// Record of what was last sent of each pair. Holds no unsent pairs: these are
/// found by comparison with the model.
struct pair_outbox
{
    std::map<image_pair, sent_pair> sent;
};

/// Selects the pairs to send in the next datagram, at most
/// `max_pairs_per_message` of those this host has learned, and marks them as
/// sent.
///
/// Pairs that were never sent, whose estimate has changed by more than 0.003
/// (`min_sent_change`) or whose weight has grown by more than a quarter plus 5
/// cores^2 come first. Next come unchanged pairs that were last sent 30 s ago
/// or earlier (`refresh_period`), since datagrams get lost. Within both groups,
/// those sent longest ago come first.
[[nodiscard]] std::vector<pair_interference>
select_due_pairs(pair_outbox& outbox, const interference_model& model,
                 time_point now);

/// Marks all pairs as due for sending. Called when a host joins, since it has
/// received none yet.
void mark_all_due(pair_outbox& outbox);

} // namespace egretspindle

#endif
