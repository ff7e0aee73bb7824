/// \file
/// Choice among racks.

#ifndef EGRETSPINDLE_PLACEMENT_CHOOSE_RACKS_HPP
#define EGRETSPINDLE_PLACEMENT_CHOOSE_RACKS_HPP

#include "egretspindle/core/clock.hpp"
#include "egretspindle/placement/policy_limits.hpp"
#include "egretspindle/placement/policy_model.hpp"
#include "egretspindle/placement/rack_load.hpp"
#include "egretspindle/placement/task_request.hpp"
#include "egretspindle/protocol/rack_summary.hpp"

#include <absl/types/span.h>

#include <cstddef>
#include <random>
#include <vector>

namespace egretspindle
{

/// Returns what other hosts are told of a rack.
///
/// \param rack          current view
/// \param model         learned estimates
/// \param epoch         epoch of the owner
/// \param urgent_queue  urgent requests that wait at the owner
/// \param now           current time
[[nodiscard]] rack_summary summarize(const rack_load& rack,
                                     const policy_model& model,
                                     std::int64_t epoch, int urgent_queue,
                                     time_point now);

/// Returns indexes of racks in the order in which to ask their owners.
///
/// The first is the better of two random racks weighted by free capacity, so
/// that hosts with the same summaries do not all choose the same rack. The
/// other racks follow as a fallback; racks that take no work are left out.
///
/// \param racks    summaries of the data centre
/// \param request  what is to be placed
/// \param rng      random source
[[nodiscard]] std::vector<std::size_t>
choose_racks(absl::Span<const rack_summary> racks, const task_request& request,
             std::mt19937_64& rng);

} // namespace egretspindle

#endif
