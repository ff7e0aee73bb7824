/// \file
/// Which learned pairs of images other hosts still have to hear of.

#ifndef EGRETSPINDLE_RACK_PAIR_OUTBOX_HPP
#define EGRETSPINDLE_RACK_PAIR_OUTBOX_HPP

#include "egretspindle/core/clock.hpp"
#include "egretspindle/rack/interference_model.hpp"

#include <map>
#include <vector>

namespace egretspindle
{

/// Pair as it was sent last.
struct sent_pair
{
    double per_core = 0;
    double weight = 0;
    time_point at;
};

/// Pairs that were sent.
struct pair_outbox
{
    std::map<image_pair, sent_pair> sent;
};

/// Chooses the pairs of the next datagram and notes them as sent.
///
/// Pairs that changed noticeably go first, the ones that were sent longest ago
/// before others. Each pair is sent again after a while even if it has not
/// changed, since datagrams get lost and hosts join.
[[nodiscard]] std::vector<pair_interference>
select_due_pairs(pair_outbox& outbox, const interference_model& model,
                 time_point now);

/// Makes all pairs due, for a host that has heard of none.
void mark_all_due(pair_outbox& outbox);

} // namespace egretspindle

#endif
