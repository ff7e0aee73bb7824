/// \file
/// Baseline strategies for the choice of a target.

#ifndef EGRETSPINDLE_BENCH_POLICY_BASELINES_HPP
#define EGRETSPINDLE_BENCH_POLICY_BASELINES_HPP

#include "egretspindle/placement/choose_target.hpp"

#include "scenario.hpp"

namespace egretspindle::bench
{

/// Chooses a target according to the strategy.
///
/// The baselines other than `declared` use the capacity and the reservations of
/// the policy, those other than `no_admission` and `declared` also its floors,
/// quotas and evictions.
[[nodiscard]] placement_decision
choose_with(strategy choice, const rack_load& rack, const task_request& request,
            const policy_model& model, const policy_limits& limits,
            time_point now, std::mt19937_64& rng);

} // namespace egretspindle::bench

#endif
