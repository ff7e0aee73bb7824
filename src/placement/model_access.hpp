/// \file
/// Internal access to the policy model.

#ifndef EGRETSPINDLE_SRC_PLACEMENT_MODEL_ACCESS_HPP
#define EGRETSPINDLE_SRC_PLACEMENT_MODEL_ACCESS_HPP

#include "egretspindle/placement/policy_model.hpp"
#include "egretspindle/placement/target_load.hpp"

#include <cstddef>
#include <string_view>

namespace egretspindle::detail
{

/// Limits the matrix: 64 kinds and index 0 need 65 x 65 cells of 56 bytes.
constexpr std::size_t max_kinds = 64;

/// Assumed slowdown per co-running task for a pair without measurements. Above
/// zero, so that a new owner spreads work until it has measurements.
constexpr double prior_slowdown = 0.03;

/// Upper limit of a learned slowdown, against outliers.
constexpr double max_slowdown = 5;

/// Returns the index of a kind and adds it if needed. Returns 0 if there are
/// too many kinds.
std::size_t add_kind(policy_model& model, std::string_view kind);

/// Returns the index of the band of a target load.
[[nodiscard]] std::size_t load_band(double load) noexcept;

/// Counts the running tasks of a target by kind.
[[nodiscard]] load_snapshot take_snapshot(const policy_model& model,
                                          const target_load& target,
                                          time_point now);

/// Returns the predicted slowdown of a task of `kind` that runs beside the
/// given tasks.
[[nodiscard]] double predict_slowdown(const policy_model& model,
                                      std::size_t kind,
                                      const load_snapshot& co_running,
                                      time_point now);

} // namespace egretspindle::detail

#endif
