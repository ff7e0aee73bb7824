#include "egretspindle/plan/plan_service.hpp"

#include "egretspindle/core/error.hpp"
#include "egretspindle/plan/edit_rules.hpp"
#include "egretspindle/plan/parse_plan.hpp"
#include "egretspindle/plan/plan_diff.hpp"
#include "egretspindle/plan/plan_digest.hpp"
#include "egretspindle/plan/section_name.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cctype>

namespace egretspindle
{

namespace
{

// A change is retried if the rows changed between reading and writing.
constexpr int max_change_attempts = 4;
constexpr int max_history = 50;

absl::Status repeated_conflict_error()
{
    return make_error(error_kind::conflict,
                      "other changes came first several times; read the plan "
                      "and try again");
}

absl::Status explain_unknown_outcome(const absl::Status& status,
                                     std::string_view remedy)
{
    if (kind_of(status) != error_kind::deadline_exceeded)
    {
        return status;
    }
    return make_error(error_kind::deadline_exceeded,
                      fmt::format("the store did not tell whether the change "
                                  "was written; {}",
                                  remedy));
}

bool is_target_name(std::string_view name)
{
    return !name.empty() && name.size() <= 128 &&
           std::all_of(name.begin(), name.end(),
                       [](char c)
                       {
                           return std::isalnum(static_cast<unsigned char>(c)) !=
                                      0 ||
                                  c == '.' || c == '_' || c == '-';
                       });
}

const plan_document*
document_or_null(const std::shared_ptr<const plan_in_force>& p)
{
    return p == nullptr ? nullptr : &p->document;
}

plan_section make_section(const plan_actor& actor, const section_edit& edit,
                          std::int64_t now, std::string tx_id)
{
    plan_section section;
    section.name = edit.name;
    section.owner = actor.team;
    section.text = edit.remove ? std::string() : edit.text;
    section.removed = edit.remove;
    section.edited_by = actor.name;
    section.edited_unix_ms = now;
    section.tx_id = std::move(tx_id);
    return section;
}

// Detects that a repeated edit was already applied and its reply was lost.
bool is_same_edit(const plan_section& current, const plan_actor& actor,
                  const section_edit& edit)
{
    return current.version > edit.base_version &&
           current.edited_by == actor.name && current.removed == edit.remove &&
           (edit.remove || current.text == edit.text);
}

absl::Status make_problems_error(const std::vector<plan_problem>& problems)
{
    std::string message = "the plan has errors and was not accepted:";
    for (const plan_problem& problem : problems)
    {
        message += fmt::format(
            " [{}] {};", problem.section.empty() ? "document" : problem.section,
            problem.message);
    }
    message.pop_back();
    return make_error(error_kind::invalid_argument, message);
}

} // namespace

plan_service::plan_service(store_client& store, rpc_client& peers,
                           plan_propagation::list_members_function members,
                           plan_table& table,
                           std::function<std::int64_t()> clock,
                           plan_service_options options)
    : table_(table), clock_(std::move(clock)), options_(std::move(options)),
      store_(store, options_.host_name, options_.store_timeout),
      propagation_(store_, peers, std::move(members), table, drains_, options_)
{
}

void plan_service::start()
{
    propagation_.start();
}

void plan_service::stop()
{
    propagation_.stop();
}

void plan_service::wake()
{
    propagation_.wake();
}

absl::StatusOr<accepted_plan>
plan_service::get_plan(const plan_query& query) const
{
    const std::shared_ptr<const plan_in_force> plan = table_.current();
    if (plan == nullptr || plan->accepted.version < query.version)
    {
        return make_error(error_kind::not_found,
                          fmt::format("plan version {} is not known here; ask "
                                      "another host",
                                      query.version));
    }
    return plan->accepted;
}

// Brings the plan in force up to the accepted version, since it decides whether
// a change is allowed.
absl::StatusOr<accepted_row> plan_service::apply_accepted_version()
{
    absl::StatusOr<accepted_row> accepted = propagation_.poll_store();
    if (accepted.ok() && accepted->version > table_.version())
    {
        return make_error(error_kind::unavailable,
                          fmt::format("plan version {} is accepted but cannot "
                                      "be applied here; try another host and "
                                      "read the log of this one",
                                      accepted->version));
    }
    return accepted;
}

absl::StatusOr<plan_draft>
plan_service::read_draft(const accepted_row& accepted)
{
    absl::StatusOr<std::vector<plan_section>> sections = store_.read_sections();
    if (!sections.ok())
    {
        return sections.status();
    }
    plan_draft result;
    result.sections = *std::move(sections);
    result.document = assemble_document(result.sections);
    result.digest = plan_digest(result.document);
    result.accepted_version = accepted.version;
    result.is_break =
        check_break(document_or_null(table_.current()), clock_()).ok();
    return result;
}

absl::StatusOr<plan_draft> plan_service::draft()
{
    const absl::StatusOr<accepted_row> accepted = apply_accepted_version();
    if (!accepted.ok())
    {
        return accepted.status();
    }
    return read_draft(*accepted);
}

absl::StatusOr<edit_result>
plan_service::read_conflict_result(const section_edit& edit)
{
    absl::StatusOr<plan_section> current = store_.read_section(edit.name);
    if (!current.ok())
    {
        return current.status();
    }
    return edit_result{false, *std::move(current), edit.text};
}

absl::StatusOr<edit_result> plan_service::edit(const plan_actor& actor,
                                               const section_edit& edit)
{
    const absl::Status text_status =
        check_section_text(edit.name, edit.remove ? "" : edit.text);
    if (!text_status.ok())
    {
        return text_status;
    }
    const std::string tx_id = store_.make_tx_id();
    for (int attempt = 0; attempt < max_change_attempts; ++attempt)
    {
        const absl::StatusOr<accepted_row> accepted = apply_accepted_version();
        if (!accepted.ok())
        {
            return accepted.status();
        }
        absl::StatusOr<plan_section> current = store_.read_section(edit.name);
        if (!current.ok())
        {
            return current.status();
        }
        if (is_same_edit(*current, actor, edit))
        {
            return edit_result{true, *std::move(current), edit.text};
        }
        for (const absl::Status& status :
             {check_edit(actor, edit, *current),
              check_break(document_or_null(table_.current()), clock_())})
        {
            if (!status.ok())
            {
                return status;
            }
        }
        if (current->version != edit.base_version)
        {
            return edit_result{false, *std::move(current), edit.text};
        }
        const plan_section section = make_section(
            actor, edit, clock_(), fmt::format("{}-{}", tx_id, attempt));
        const absl::StatusOr<commit_result> result =
            store_.write_section(section, edit.base_version, *accepted);
        if (!result.ok())
        {
            return explain_unknown_outcome(
                result.status(), "repeat the edit, which is applied only once");
        }
        if (result->committed)
        {
            absl::StatusOr<plan_section> written =
                store_.read_section(edit.name);
            return edit_result{true, written.ok() ? *written : section,
                               edit.text};
        }
        // Either the section or the accepted version changed; the next attempt
        // reads both again.
    }
    return repeated_conflict_error();
}

absl::StatusOr<accept_result>
plan_service::find_earlier_acceptance(const accept_request& request,
                                      const accepted_row& accepted)
{
    accept_result result;
    const bool is_superseded =
        request.base_version >= 0 && accepted.version > request.base_version;
    if (!is_superseded && accepted.digest != request.digest)
    {
        return result;
    }
    const std::int64_t version =
        is_superseded ? request.base_version + 1 : accepted.version;
    absl::StatusOr<plan_record> record = store_.read_record(version);
    if (!record.ok())
    {
        return record.status();
    }
    if (record->plan.digest == request.digest)
    {
        result.record = *std::move(record);
        return result;
    }
    return make_error(error_kind::conflict,
                      fmt::format("{} accepted plan version {} after your "
                                  "review; review the plan again",
                                  record->plan.accepted_by, version));
}

absl::StatusOr<plan_record>
plan_service::make_record(const plan_actor& actor,
                          const accept_request& request,
                          const plan_draft& draft)
{
    if (draft.digest != request.digest)
    {
        return make_error(error_kind::conflict,
                          fmt::format("the document now has digest {}, not "
                                      "the reviewed {}; review the plan again",
                                      draft.digest,
                                      request.digest.substr(0, 64)));
    }
    const absl::Status break_status =
        check_break(document_or_null(table_.current()), clock_());
    if (!break_status.ok())
    {
        return break_status;
    }
    const std::vector<plan_problem> problems = validate_plan(
        draft.document, options_.context ? options_.context() : plan_context{});
    if (!problems.empty())
    {
        return make_problems_error(problems);
    }
    plan_record record;
    record.plan.version = draft.accepted_version + 1;
    record.plan.digest = draft.digest;
    record.plan.document = draft.document;
    record.plan.accepted_by = actor.name;
    record.plan.accepted_unix_ms = clock_();
    record.host = store_.host_name();
    record.tx_id = store_.make_tx_id();
    return record;
}

absl::StatusOr<accept_result>
plan_service::accept(const plan_actor& actor, const accept_request& request)
{
    if (!actor.is_supervisor)
    {
        return make_error(error_kind::forbidden,
                          "only supervisors accept the plan; ask one");
    }
    std::string tx_id;
    for (int attempt = 0; attempt < max_change_attempts; ++attempt)
    {
        const absl::StatusOr<accepted_row> accepted = apply_accepted_version();
        if (!accepted.ok())
        {
            return accepted.status();
        }
        absl::StatusOr<accept_result> earlier =
            find_earlier_acceptance(request, *accepted);
        if (!earlier.ok() || earlier->record.plan.version > 0)
        {
            if (earlier.ok())
            {
                earlier->is_new = earlier->record.tx_id == tx_id;
            }
            return earlier;
        }
        const absl::StatusOr<plan_draft> draft = read_draft(*accepted);
        if (!draft.ok())
        {
            return draft.status();
        }
        absl::StatusOr<plan_record> record =
            make_record(actor, request, *draft);
        if (!record.ok())
        {
            return record.status();
        }
        tx_id = record->tx_id;
        const absl::StatusOr<commit_result> result =
            store_.write_accepted(*record, *accepted, draft->sections);
        if (!result.ok())
        {
            return explain_unknown_outcome(
                result.status(),
                "repeat the request on this or another host, it "
                "is accepted at most once");
        }
        if (result->committed)
        {
            static_cast<void>(table_.offer(record->plan));
            return accept_result{true, *std::move(record)};
        }
    }
    return repeated_conflict_error();
}

absl::StatusOr<std::vector<plan_problem>> plan_service::check()
{
    const absl::StatusOr<plan_draft> current = draft();
    if (!current.ok())
    {
        return current.status();
    }
    return validate_plan(current->document, options_.context
                                                ? options_.context()
                                                : plan_context{});
}

absl::StatusOr<std::string> plan_service::diff()
{
    const absl::StatusOr<plan_draft> current = draft();
    if (!current.ok())
    {
        return current.status();
    }
    const std::shared_ptr<const plan_in_force> plan = table_.current();
    return plan_diff(plan == nullptr ? "" : plan->accepted.document,
                     current->document);
}

absl::StatusOr<std::vector<plan_record>> plan_service::history(int limit)
{
    const absl::StatusOr<accepted_row> accepted = store_.read_accepted();
    if (!accepted.ok())
    {
        return accepted.status();
    }
    return store_.read_history(accepted->version,
                               std::clamp(limit, 1, max_history));
}

const drain_table& plan_service::drains() const noexcept
{
    return drains_;
}

absl::StatusOr<drained_target>
plan_service::set_drained(const plan_actor& actor, const std::string& target,
                          bool drained)
{
    const std::shared_ptr<const plan_in_force> plan = table_.current();
    if (plan != nullptr && plan->document.hosts.team != actor.team)
    {
        return make_error(error_kind::forbidden,
                          fmt::format("team {} drains and resumes targets; ask "
                                      "that team",
                                      plan->document.hosts.team));
    }
    const plan_context context =
        options_.context ? options_.context() : plan_context{};
    // A drained target can be resumed even if it is no longer on the host list.
    const bool is_known = !context.known_hosts ||
                          context.known_hosts->count(target) > 0 ||
                          (!drained && drains_.is_drained(target));
    if (!is_target_name(target) || !is_known)
    {
        return make_error(error_kind::not_found,
                          "unknown target; list them with `egretctl targets`");
    }
    const drained_target change{target, drained, actor.name, clock_()};
    for (int attempt = 0; attempt < max_change_attempts; ++attempt)
    {
        const absl::StatusOr<commit_result> result = store_.write_drain(change);
        if (!result.ok())
        {
            return explain_unknown_outcome(result.status(),
                                           "repeat the request");
        }
        if (result->committed)
        {
            drains_.apply(change);
            return change;
        }
    }
    return repeated_conflict_error();
}

} // namespace egretspindle
