/// \file
/// Operations on the plan, and its propagation.

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

/// Plan of all data centres. Usable from several threads.
class plan_service
{
public:
    /// \param store    outlives the service, as do `peers` and `table`
    /// \param members  lists the members; called from several threads
    /// \param clock    returns milliseconds since the Unix epoch
    plan_service(store_client& store, rpc_client& peers,
                 plan_propagation::member_function members, plan_table& table,
                 std::function<std::int64_t()> clock,
                 plan_service_options options);

    /// Starts the propagation.
    void start();

    /// Ends the propagation.
    void stop();

    /// Call when a digest with a higher plan version was received.
    void wake();

    /// Answers the message `get_plan`.
    [[nodiscard]] absl::StatusOr<accepted_plan>
    get_plan(const plan_query& query) const;

    /// Reads all sections with their versions.
    [[nodiscard]] absl::StatusOr<plan_draft> draft();

    /// Edits a section of the actor's team, during the break.
    ///
    /// \returns `applied` false when another edit came first,
    ///          `deadline_exceeded` when the store does not tell whether the
    ///          edit was applied
    [[nodiscard]] absl::StatusOr<edit_result> edit(const plan_actor& actor,
                                                   const section_edit& edit);

    /// Accepts the document with the given digest, during the break.
    ///
    /// \returns `conflict` when the document is another one by now,
    ///          `deadline_exceeded` when the store does not tell whether it
    ///          was accepted; the request can then be repeated on any host
    [[nodiscard]] absl::StatusOr<accept_result>
    accept(const plan_actor& actor, const accept_request& request);

    /// Returns the errors of the document that the sections make up.
    [[nodiscard]] absl::StatusOr<std::vector<plan_problem>> check();

    /// Returns the differences between the accepted document and the sections.
    [[nodiscard]] absl::StatusOr<std::string> diff();

    /// Returns accepted versions, latest first.
    ///
    /// \param limit  most versions to return, at most 50
    [[nodiscard]] absl::StatusOr<std::vector<plan_record>> history(int limit);

    /// Drains or resumes a target at any time, for faults that cannot wait
    /// for the break. Needs the team that owns the section `hosts`.
    [[nodiscard]] absl::StatusOr<drained_target>
    set_drained(const plan_actor& actor, const std::string& target,
                bool drained);

    /// Returns the drained targets.
    [[nodiscard]] const drain_table& drains() const noexcept;

private:
    absl::StatusOr<accepted_row> refresh();
    absl::StatusOr<plan_draft> read_draft(const accepted_row& accepted);
    absl::StatusOr<edit_result> conflict_of(const section_edit& edit);
    absl::StatusOr<accept_result> find_earlier(const accept_request& request,
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
