#include "egretspindle/plan/edit_rules.hpp"

#include "egretspindle/core/error.hpp"
#include "egretspindle/plan/section_name.hpp"

#include <fmt/format.h>

#include <string>
#include <vector>

namespace egretspindle
{

namespace
{

std::string format_windows(const break_section& section)
{
    std::vector<std::string> texts;
    for (const break_window& window : section.windows)
    {
        texts.push_back(
            fmt::format("{:02}:{:02}-{:02}:{:02}", window.from_minute / 60,
                        window.from_minute % 60, window.to_minute / 60,
                        window.to_minute % 60));
    }
    return fmt::format("{}", fmt::join(texts, ", "));
}

} // namespace

absl::Status check_break(const plan_document* in_force, std::int64_t unix_ms)
{
    if (in_force == nullptr || is_in_break(in_force->breaks, unix_ms))
    {
        return absl::OkStatus();
    }
    return make_error(
        error_kind::forbidden,
        fmt::format("the plan can be changed only during the break; try again "
                    "within {} UTC",
                    format_windows(in_force->breaks)));
}

absl::Status check_edit(const plan_actor& actor, const section_edit& edit,
                        const plan_section& current)
{
    const bool exists = current.version > 0 && !current.removed;
    const std::string owner =
        exists ? current.owner : section_owner(edit.name, edit.text);
    if (!exists && edit.remove)
    {
        return make_error(error_kind::not_found,
                          fmt::format("there is no section {}; list them with "
                                      "`egretctl plan show`",
                                      edit.name));
    }
    if (owner.empty())
    {
        return make_error(error_kind::invalid_argument,
                          fmt::format("section {} names no owner; add `team = "
                                      "\"{}\"`",
                                      edit.name, actor.team));
    }
    if (owner != actor.team)
    {
        return make_error(error_kind::forbidden,
                          fmt::format("section {} belongs to team {}, not to "
                                      "{}; ask that team to edit it",
                                      edit.name, owner, actor.team));
    }
    if (!edit.remove && section_owner(edit.name, edit.text) != owner)
    {
        return make_error(error_kind::forbidden,
                          fmt::format("an edit cannot pass section {} to "
                                      "another team; keep `team = \"{}\"`, or "
                                      "remove the section so that the other "
                                      "team can add it",
                                      edit.name, owner));
    }
    return absl::OkStatus();
}

} // namespace egretspindle
