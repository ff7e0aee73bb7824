/// \file
/// Scores of targets from predicted slowdowns.

#ifndef EGRETSPINDLE_SRC_PLACEMENT_TARGET_SCORE_HPP
#define EGRETSPINDLE_SRC_PLACEMENT_TARGET_SCORE_HPP

#include "egretspindle/placement/policy_model.hpp"
#include "egretspindle/placement/task_request.hpp"

#include <cstddef>
#include <vector>

namespace egretspindle::detail
{

/// Urgent kind with its fraction of `policy_model::urgent_rate`.
struct urgent_share
{
    std::size_t kind = 0;
    double share = 0;
};

/// Properties of a request that are common to all scores.
struct score_input
{
    std::size_t kind = 0;
    bool urgent = false;
    double run_ms = 0; ///< without interference
    std::vector<urgent_share> urgent_kinds;
};

/// Returns the properties of a request for scoring.
///
/// \param run_ms  estimated run time without interference
[[nodiscard]] score_input make_score_input(const policy_model& model,
                                           const task_request& request,
                                           double run_ms);

/// Returns the expected slowdown of the average urgent task on a target.
[[nodiscard]] double urgent_slowdown(const score_input& input,
                                     const policy_model& model,
                                     const load_snapshot& co_running,
                                     time_point now);

/// Returns the predicted run time on a target in ms.
[[nodiscard]] double predicted_run(const score_input& input,
                                   const policy_model& model,
                                   const load_snapshot& co_running,
                                   time_point now);

/// Returns the cost of the request on a target in ms; lower is better.
///
/// \param current_urgent_slowdown  result of `urgent_slowdown`
[[nodiscard]] double score_of(const score_input& input,
                              const policy_model& model,
                              const load_snapshot& co_running,
                              double current_urgent_slowdown, time_point now);

} // namespace egretspindle::detail

#endif
