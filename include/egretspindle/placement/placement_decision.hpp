/// \file
/// Decision on one placement request.

#ifndef EGRETSPINDLE_PLACEMENT_PLACEMENT_DECISION_HPP
#define EGRETSPINDLE_PLACEMENT_PLACEMENT_DECISION_HPP

#include "egretspindle/core/resources.hpp"
#include "egretspindle/placement/eviction.hpp"
#include "egretspindle/placement/throttle.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace egretspindle
{

/// What to do with a request.
enum class placement_kind
{
    place,  ///< start now, after the evictions are confirmed
    wait,   ///< keep in the queue and decide again when a task ends
    reject, ///< answer `not_run` at once
};

/// Target that was considered, for the decision log.
struct placement_alternative
{
    std::string target;
    double score_ms = 0;           ///< lower is better; 0 when not feasible
    std::string infeasible_reason; ///< why it is not feasible; empty when it is
};

/// Decision, with everything the log line shows.
struct placement_decision
{
    placement_kind kind = placement_kind::reject;
    std::string target;
    resources reservation;
    /// To be confirmed stopped before the start is sent.
    std::vector<eviction> evictions;
    std::vector<throttle> throttles;
    double predicted_wait_ms = 0;
    double predicted_run_ms = 0;
    double predicted_finish_ms = 0; ///< from now
    std::string reason;
    std::vector<placement_alternative> alternatives;
    std::int64_t retry_after_ms = 0; ///< for `reject`
    bool never_fits = false;         ///< larger than every target of the rack
};

} // namespace egretspindle

#endif
