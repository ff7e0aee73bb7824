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
    failed,      ///< through its own fault or the target's; uses an attempt
    stopped,     ///< on an order
    lapsed,      ///< the lease expired at the target
    broken,      ///< another member of the gang ended
    alone,       ///< the other members of the gang did not come
    lost,        ///< its target restarted, or its lease has certainly expired
    not_started, ///< no target has begun it, and none will
};

/// Returns the name of a reason, for example `not_started`.
[[nodiscard]] std::string_view to_string(run_end value) noexcept;

/// Returns the reason with the given name; `lost` for an unknown one.
[[nodiscard]] run_end parse_run_end(std::string_view name) noexcept;

} // namespace egretspindle

#endif
