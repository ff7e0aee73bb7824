/// \file
/// Target choices to compare with.

#ifndef EGRETSPINDLE_BENCH_POLICY_BASELINES_HPP
#define EGRETSPINDLE_BENCH_POLICY_BASELINES_HPP

#include "egretspindle/placement/choose_target.hpp"

#include "scenario.hpp"

namespace egretspindle::bench
{

/// Chooses a target by the strategy.
///
/// The baselines use the same capacity and reservations, and but for
/// `no_admission` the same floors, quotas and evictions.
[[nodiscard]] placement_decision
choose_by(strategy choice, const rack_load& rack, const task_request& request,
          const policy_model& model, const policy_limits& limits,
          time_point now, std::mt19937_64& rng);

} // namespace egretspindle::bench

#endif
