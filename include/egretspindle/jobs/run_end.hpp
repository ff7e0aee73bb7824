/// \file
/// How a run of a task ended.

#ifndef EGRETSPINDLE_JOBS_RUN_END_HPP
#define EGRETSPINDLE_JOBS_RUN_END_HPP

#include <string_view>

namespace egretspindle
{

/// Reason for the end of a run.
enum class run_end
{
    done,
    failed,      ///< an error of the task or its target; the only end that
                 ///< counts towards `queue_config::max_attempts`
    stopped,     ///< by a stop order
    lapsed,      ///< its lease expired at the target
    broken,      ///< another member of its gang ended
    alone,       ///< the other members of its gang did not start
    lost,        ///< its target restarted, or its lease expired for certain
    not_started, ///< no target has started it or will start it
};

/// Returns the name of a reason, for example `not_started`.
[[nodiscard]] std::string_view to_string(run_end value) noexcept;

/// Returns the reason with the given name; `lost` for an unknown one.
[[nodiscard]] run_end parse_run_end(std::string_view name) noexcept;

} // namespace egretspindle

#endif
