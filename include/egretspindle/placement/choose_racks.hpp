/// \file
/// Choice of the racks for a request.

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

/// Returns the summary of a rack that is sent to other hosts.
///
/// \param rack          current view of the rack
/// \param model         learned estimates
/// \param epoch         epoch of the owner
/// \param urgent_queue  number of urgent requests queued at the owner
/// \param now           current time
[[nodiscard]] rack_summary summarize(const rack_load& rack,
                                     const policy_model& model,
                                     std::int64_t epoch, int urgent_queue,
                                     time_point now);

/// Returns the indexes of racks in the order in which to ask their owners.
///
/// The first is the better of two racks that are drawn at random, weighted by
/// free capacity, so that hosts with the same summaries do not all choose the
/// same rack. The other racks follow as a fallback. Racks without targets that
/// accept work are left out.
///
/// \param racks    summaries of the data centre
/// \param request  request to place
/// \param rng      random number generator
[[nodiscard]] std::vector<std::size_t>
choose_racks(absl::Span<const rack_summary> racks, const task_request& request,
             std::mt19937_64& rng);

} // namespace egretspindle

#endif
