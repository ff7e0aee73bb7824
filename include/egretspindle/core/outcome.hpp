/// \file
/// Outcomes of requests.

#ifndef EGRETSPINDLE_CORE_OUTCOME_HPP
#define EGRETSPINDLE_CORE_OUTCOME_HPP

#include <string_view>

namespace egretspindle
{

/// Outcome of a request. Every reply to a caller contains exactly one.
enum class outcome
{
    done,      ///< completed; the reply contains the answer
    accepted,  ///< recorded, not started yet
    running,   ///< an attempt is running
    cancelled, ///< cancelled before completion
    failed,    ///< ran and failed, or can never be run
    not_run,   ///< did not run, which is certain; may be sent again
    unknown,   ///< may have run; the result is lost
};

/// Returns the wire name of an outcome, for example `not_run`.
[[nodiscard]] std::string_view to_string(outcome value) noexcept;

/// Returns the outcome with the given wire name, or `unknown`.
[[nodiscard]] outcome outcome_from(std::string_view name) noexcept;

/// Returns whether the outcome is final, that is, cannot change any more.
[[nodiscard]] bool is_final(outcome value) noexcept;

} // namespace egretspindle

#endif
