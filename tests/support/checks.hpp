/// \file
/// Checks of a run against the records of targets and the replies to callers.

#ifndef EGRETSPINDLE_TESTS_SUPPORT_CHECKS_HPP
#define EGRETSPINDLE_TESTS_SUPPORT_CHECKS_HPP

#include "support/caller.hpp"
#include "support/executions.hpp"

#include <set>
#include <string>
#include <vector>

namespace egretspindle::test
{

/// Records of a run that are visible outside of the entry hosts.
struct run_record
{
    std::vector<standin::journal_event> events; ///< of all targets
    std::vector<execution> executions;
    std::vector<standin::store_event> store;
    std::vector<caller_reply> replies;
};

/// Each check returns its violations, one text each with the trace of the
/// request; an empty list means that the guarantee holds.
using violations = std::vector<std::string>;

/// No request executes in two places at once.
[[nodiscard]] violations check_no_overlap(const run_record& record);

/// A non-idempotent request starts at most once.
[[nodiscard]] violations check_single_start(const run_record& record);

/// A request is recorded as ended at most once, and its recorded outcome
/// does not change.
[[nodiscard]] violations check_single_completion(const run_record& record);

/// Every `done` reply has the complete answer of its key and body.
[[nodiscard]] violations check_answers(const run_record& record);

/// A request that was reported as `not_run` did not start before that reply,
/// and not later unless it was submitted again.
[[nodiscard]] violations check_not_run(const run_record& record);

/// All final outcomes that are reported for one request are equal, except that
/// another outcome may follow `unknown`.
[[nodiscard]] violations check_stable_outcome(const run_record& record);

/// No target is given more work than its capacity.
[[nodiscard]] violations check_no_overload(const run_record& record);

/// All replies have one of the outcomes.
[[nodiscard]] violations
check_outcomes(const std::vector<caller_reply>& replies,
               const std::set<std::string>& allowed, const run_record& record);

/// Runs all checks of a record except `check_outcomes`.
[[nodiscard]] violations check_all(const run_record& record);

/// Returns all events and replies of a request in the order of time.
[[nodiscard]] std::string trace_of(const run_record& record,
                                   const std::string& key);

} // namespace egretspindle::test

#endif
