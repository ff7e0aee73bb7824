/// \file
/// Selection of the learned pairs of images to send to other hosts.

#ifndef EGRETSPINDLE_RACK_PAIR_OUTBOX_HPP
#define EGRETSPINDLE_RACK_PAIR_OUTBOX_HPP

#include "egretspindle/core/clock.hpp"
#include "egretspindle/rack/interference_model.hpp"

#include <map>
#include <vector>

namespace egretspindle
{

/// Values of a pair when it was last sent.
struct sent_pair
{
    double per_core = 0;
    double weight = 0;
    time_point at;
};

/// Pairs that have been sent.
struct pair_outbox
{
    std::map<image_pair, sent_pair> sent;
};

/// Selects the pairs of the next datagram and marks them as sent.
///
/// Pairs that changed noticeably come first, then those that are due for a
/// refresh; within both groups, those sent longest ago come first. Unchanged
/// pairs are refreshed periodically because datagrams get lost and hosts join.
[[nodiscard]] std::vector<pair_interference>
select_due_pairs(pair_outbox& outbox, const interference_model& model,
                 time_point now);

/// Marks all pairs as due, for a host that has just joined.
void mark_all_due(pair_outbox& outbox);

} // namespace egretspindle

#endif
