/// \file
/// Choice of the terms under which a job runs.

#ifndef EGRETSPINDLE_SRC_SCHEDULER_JOB_TERMS_HPP
#define EGRETSPINDLE_SRC_SCHEDULER_JOB_TERMS_HPP

#include "egretspindle/fleet/fleet_config.hpp"
#include "egretspindle/jobs/job.hpp"

#include <string_view>

namespace egretspindle
{

/// Returns the terms of a queue in a configuration. `service` is empty if it
/// has no such queue.
[[nodiscard]] queue_terms find_queue_terms(const fleet_config& config,
                                           std::string_view queue);

/// Returns the terms under which a job runs now: those in the configuration,
/// unless its queue was removed or the job has terms of a later version, else
/// those that the job has. `service` is empty if neither is known, and while no
/// configuration has been read.
[[nodiscard]] queue_terms terms_in_effect(const job& value,
                                          const fleet_config& config);

/// Replaces the terms of an open job by those in effect.
///
/// \returns whether the record of the job has to be written: the service or the
///          number of attempts has changed
bool update_terms(job& value, const fleet_config& config);

} // namespace egretspindle

#endif
