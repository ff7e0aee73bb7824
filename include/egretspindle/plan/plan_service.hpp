/// \file
/// Service that reads, edits, accepts and propagates the plan.

#ifndef EGRETSPINDLE_PLAN_PLAN_SERVICE_HPP
#define EGRETSPINDLE_PLAN_PLAN_SERVICE_HPP

#include "egretspindle/plan/accept_request.hpp"
#include "egretspindle/plan/accept_result.hpp"
#include "egretspindle/plan/edit_result.hpp"
#include "egretspindle/plan/plan_actor.hpp"
#include "egretspindle/plan/plan_draft.hpp"
#include "egretspindle/plan/plan_problem.hpp"
#include "egretspindle/plan/plan_propagation.hpp"
#include "egretspindle/plan/plan_query.hpp"
#include "egretspindle/plan/plan_service_options.hpp"
#include "egretspindle/plan/plan_store.hpp"
#include "egretspindle/plan/plan_table.hpp"
#include "egretspindle/plan/section_edit.hpp"

#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>
#include <vector>

namespace egretspindle
{

/// Operations on the plan, which applies to all data centres. All functions may
/// be called from several threads.
class plan_service
{
public:
    /// \param store    must outlive the service, as must `peers` and `table`
    /// \param members  returns the members; called from several threads
    /// \param clock    returns milliseconds since the Unix epoch
    plan_service(store_client& store, rpc_client& peers,
                 plan_propagation::list_members_function members,
                 plan_table& table, std::function<std::int64_t()> clock,
                 plan_service_options options);

    /// Starts the propagation.
    void start();

    /// Stops the propagation.
    void stop();

    /// Checks the members for a higher plan version without delay. To be called
    /// when a digest with a higher version has been received.
    void wake();

    /// Handles the message `get_plan`.
    ///
    /// \returns `not_found` if the version in force is lower than requested
    [[nodiscard]] absl::StatusOr<accepted_plan>
    get_plan(const plan_query& query) const;

    /// Reads all sections with their versions.
    [[nodiscard]] absl::StatusOr<plan_draft> draft();

    /// Edits a section of the actor's team during a break.
    ///
    /// \returns a result with `applied` false if the section has another
    ///          version than the edit is based on; the error of a failed check;
    ///          `conflict` after repeated concurrent changes;
    ///          `deadline_exceeded` if it is unknown whether the store applied
    ///          the edit
    [[nodiscard]] absl::StatusOr<edit_result> edit(const plan_actor& actor,
                                                   const section_edit& edit);

    /// Accepts the document with the given digest during a break.
    ///
    /// \returns `conflict` if the document or the accepted version has changed
    ///          since the review, `deadline_exceeded` if it is unknown whether
    ///          the store accepted it; the request can then be repeated on any
    ///          host
    [[nodiscard]] absl::StatusOr<accept_result>
    accept(const plan_actor& actor, const accept_request& request);

    /// Returns the errors of the document assembled from the sections.
    [[nodiscard]] absl::StatusOr<std::vector<plan_problem>> check();

    /// Returns the differences between the document in force and the one
    /// assembled from the sections.
    [[nodiscard]] absl::StatusOr<std::string> diff();

    /// Returns accepted versions, latest first.
    ///
    /// \param limit  maximum number of versions, clamped to 1 to 50
    [[nodiscard]] absl::StatusOr<std::vector<plan_record>> history(int limit);

    /// Drains or resumes a target. This is possible at any time, since faults
    /// cannot wait for a break.
    ///
    /// \returns `forbidden` unless the actor's team owns the section `hosts`,
    ///          `not_found` if the target is not on the host list
    [[nodiscard]] absl::StatusOr<drained_target>
    set_drained(const plan_actor& actor, const std::string& target,
                bool drained);

    /// Returns the drained targets.
    [[nodiscard]] const drain_table& drains() const noexcept;

private:
    absl::StatusOr<accepted_row> apply_accepted_version();
    absl::StatusOr<plan_draft> read_draft(const accepted_row& accepted);
    absl::StatusOr<edit_result> read_conflict_result(const section_edit& edit);
    absl::StatusOr<accept_result>
    find_earlier_acceptance(const accept_request& request,
                            const accepted_row& accepted);
    absl::StatusOr<plan_record> make_record(const plan_actor& actor,
                                            const accept_request& request,
                                            const plan_draft& draft);

    plan_table& table_;
    std::function<std::int64_t()> clock_;
    plan_service_options options_;
    plan_store store_;
    drain_table drains_;
    plan_propagation propagation_;
};

} // namespace egretspindle

#endif
