/// \file
/// Parts of the policy model shared by its functions.

#ifndef EGRETSPINDLE_SRC_PLACEMENT_MODEL_ACCESS_HPP
#define EGRETSPINDLE_SRC_PLACEMENT_MODEL_ACCESS_HPP

#include "egretspindle/placement/policy_model.hpp"
#include "egretspindle/placement/target_load.hpp"

#include <cstddef>
#include <string_view>

namespace egretspindle::detail
{

/// Bound of the matrix: 64 kinds take 64 x 64 cells of 56 bytes.
constexpr std::size_t max_kinds = 64;

/// Assumed slowdown per co-running task of an unmeasured pair. Above zero, so
/// that a new owner spreads work until it has measurements.
constexpr double prior_slowdown = 0.03;

/// Bound of one cell, against outliers.
constexpr double max_slowdown = 5;

/// Returns the index of a kind, adding it when there is room, else 0.
std::size_t add_kind(policy_model& model, std::string_view kind);

/// Returns the band of a target load.
[[nodiscard]] std::size_t load_band(double load) noexcept;

/// Counts the running tasks of a target by kind.
[[nodiscard]] load_snapshot take_snapshot(const policy_model& model,
                                          const target_load& target,
                                          time_point now);

/// Returns the predicted slowdown of a task of `kind` beside the given tasks.
[[nodiscard]] double predict_slowdown(const policy_model& model,
                                      std::size_t kind,
                                      const load_snapshot& beside,
                                      time_point now);

} // namespace egretspindle::detail

#endif
