/// \file
/// Exit codes of egretctl.

#ifndef EGRETSPINDLE_APPS_EGRETCTL_EXIT_CODE_HPP
#define EGRETSPINDLE_APPS_EGRETCTL_EXIT_CODE_HPP

#include <absl/status/status.h>

namespace egretspindle::ctl
{

/// Exit codes, documented in docs/OPERATIONS.md.
enum exit_code
{
    exit_done = 0,
    exit_failure = 1,
    exit_usage = 2,
    exit_denied = 3,     ///< token, team, role or time does not permit it
    exit_conflict = 4,   ///< another change came first
    exit_no_answer = 5,  ///< no server answered; nothing was changed
    exit_unknown = 6,    ///< the change may have been made; repeat it
    exit_invalid = 7,    ///< invalid plan or argument, or not found
    exit_incomplete = 8, ///< some hosts did not answer
};

/// Prints an error and returns its exit code.
[[nodiscard]] int report_error(const absl::Status& status);

} // namespace egretspindle::ctl

#endif
