#include "egretspindle/admin/admin_messages.hpp"
#include "egretspindle/core/error.hpp"
#include "egretspindle/core/utf8.hpp"
#include "egretspindle/plan/accept_request.hpp"
#include "egretspindle/plan/accept_result.hpp"
#include "egretspindle/plan/edit_result.hpp"
#include "egretspindle/plan/plan_draft.hpp"
#include "egretspindle/plan/section_edit.hpp"

#include "commands.hpp"
#include "exit_code.hpp"
#include "table.hpp"

#include <fmt/format.h>

#include <cstdio>
#include <fstream>
#include <iostream>
#include <iterator>
#include <unistd.h>

namespace egretspindle::ctl
{

namespace
{

constexpr std::size_t max_section_bytes = 64 * 1024;

int print_json(const absl::StatusOr<std::string>& body)
{
    if (!body.ok())
    {
        return report_error(body.status());
    }
    fmt::print("{}\n", *body);
    return exit_done;
}

absl::StatusOr<std::string> read_section_text(const std::string& name)
{
    std::ifstream file;
    if (name != "-")
    {
        file.open(name, std::ios::binary);
        if (!file)
        {
            return make_error(
                error_kind::not_found,
                fmt::format("cannot read {}; check the name", name));
        }
    }
    std::istream& in = name == "-" ? std::cin : file;
    std::string text{std::istreambuf_iterator<char>(in),
                     std::istreambuf_iterator<char>()};
    if (text.size() > max_section_bytes)
    {
        return make_error(error_kind::too_large,
                          fmt::format("{} has more than {} bytes; shorten it",
                                      name, max_section_bytes));
    }
    if (!is_valid_utf8(text))
    {
        return make_error(error_kind::invalid_argument,
                          fmt::format("{} is not UTF-8; convert it", name));
    }
    return text;
}

/// Asks for confirmation. Without a terminal the answer is no.
bool confirm(const options& opts, const std::string& question)
{
    if (opts.is_confirmed)
    {
        return true;
    }
    if (isatty(STDIN_FILENO) == 0)
    {
        fmt::print(stderr, "egretctl: {} needs --yes without a terminal\n",
                   question);
        return false;
    }
    fmt::print(stderr, "{}? [y/N] ", question);
    std::string answer;
    return std::getline(std::cin, answer) && (answer == "y" || answer == "yes");
}

void print_section(const plan_section& section)
{
    fmt::print("# {} owner={} version={} edited_by={} edited={}{}\n{}",
               section.name, section.owner, section.version,
               printable(section.edited_by),
               format_time(section.edited_unix_ms),
               section.removed ? " removed" : "", printable(section.text));
    fmt::print("{}", section.text.empty() || section.text.back() == '\n'
                         ? "\n"
                         : "\n\n");
}

void print_conflict(const std::string& body)
{
    const absl::StatusOr<admin_message::edit_conflict> conflict =
        from_json<admin_message::edit_conflict>(body);
    if (!conflict.ok() || conflict->current.name.empty())
    {
        return;
    }
    fmt::print("section as it is now:\n");
    print_section(conflict->current);
    fmt::print("your text:\n{}\n", printable(conflict->proposed));
}

} // namespace

int plan_show(admin_client& client, const options& opts)
{
    if (opts.is_json)
    {
        return print_json(client.get("plan"));
    }
    const absl::StatusOr<plan_draft> draft = get_as<plan_draft>(client, "plan");
    if (!draft.ok())
    {
        return report_error(draft.status());
    }
    const std::string section_name =
        opts.arguments.size() > 2 ? opts.arguments[2] : "";
    bool is_found = section_name.empty();
    for (const plan_section& section : draft->sections)
    {
        if (section_name.empty() ? !section.removed
                                 : section.name == section_name)
        {
            print_section(section);
            is_found = true;
        }
    }
    if (!is_found)
    {
        return report_error(make_error(
            error_kind::not_found, fmt::format("there is no section {}; add it "
                                               "with `plan edit {} --base 0`",
                                               section_name, section_name)));
    }
    if (section_name.empty())
    {
        fmt::print("digest {}\naccepted version {}\nbreak {}\n", draft->digest,
                   draft->accepted_version, draft->is_break ? "yes" : "no");
    }
    return exit_done;
}

int plan_edit(admin_client& client, const options& opts)
{
    if (opts.arguments.size() != 3 || opts.base < 0 ||
        opts.file.empty() != opts.is_removal)
    {
        return report_usage("plan edit needs SECTION, --base VERSION, and "
                            "either --file FILE or --remove");
    }
    section_edit edit;
    edit.name = opts.arguments[2];
    edit.base_version = opts.base;
    edit.remove = opts.is_removal;
    if (edit.remove && !confirm(opts, "remove section " + edit.name))
    {
        return exit_usage;
    }
    if (!edit.remove)
    {
        absl::StatusOr<std::string> text = read_section_text(opts.file);
        if (!text.ok())
        {
            return report_error(text.status());
        }
        edit.text = *std::move(text);
    }
    const absl::StatusOr<std::string> body =
        client.post("plan/edit", to_json(edit));
    if (opts.is_json)
    {
        return print_json(body);
    }
    if (!body.ok())
    {
        if (kind_of(body.status()) == error_kind::conflict)
        {
            print_conflict(client.error_body());
        }
        return report_error(body.status());
    }
    const absl::StatusOr<edit_result> result = from_json<edit_result>(*body);
    if (!result.ok())
    {
        return report_error(result.status());
    }
    fmt::print("section {} has version {} now\n", edit.name,
               result->current.version);
    return exit_done;
}

int plan_diff(admin_client& client, const options& opts)
{
    if (opts.is_json)
    {
        return print_json(client.get("plan/diff"));
    }
    const absl::StatusOr<admin_message::text_reply> diff =
        get_as<admin_message::text_reply>(client, "plan/diff");
    if (!diff.ok())
    {
        return report_error(diff.status());
    }
    fmt::print("{}",
               diff->text.empty() ? "no changes\n" : printable(diff->text));
    return exit_done;
}

int plan_check(admin_client& client, const options& opts)
{
    const absl::StatusOr<std::string> body = client.get("plan/check");
    const absl::StatusOr<admin_message::check_reply> result =
        body.ok() ? from_json<admin_message::check_reply>(*body)
                  : absl::StatusOr<admin_message::check_reply>(body.status());
    if (!result.ok())
    {
        return report_error(result.status());
    }
    if (opts.is_json)
    {
        fmt::print("{}\n", *body);
    }
    else if (result->valid)
    {
        fmt::print("the document is valid\n");
    }
    else
    {
        table_rows rows{{"SECTION", "ERROR"}};
        for (const plan_problem& problem : result->problems)
        {
            rows.push_back({problem.section.empty() ? "-" : problem.section,
                            problem.message});
        }
        fmt::print("{}", format_table(rows));
    }
    return result->valid ? exit_done : exit_invalid;
}

int plan_accept(admin_client& client, const options& opts)
{
    const absl::StatusOr<plan_draft> draft = get_as<plan_draft>(client, "plan");
    if (!draft.ok())
    {
        return report_error(draft.status());
    }
    accept_request request;
    request.digest = opts.digest.empty() ? draft->digest : opts.digest;
    request.base_version = opts.base < 0 ? draft->accepted_version : opts.base;
    if (opts.digest.empty() && !opts.is_json)
    {
        const int code = plan_diff(client, opts);
        if (code != exit_done)
        {
            return code;
        }
    }
    if (!confirm(opts, fmt::format("accept digest {} for all data centres",
                                   request.digest)))
    {
        return exit_usage;
    }
    const absl::StatusOr<std::string> body =
        client.post("plan/accept", to_json(request));
    if (opts.is_json || !body.ok())
    {
        return print_json(body);
    }
    const absl::StatusOr<accept_result> result =
        from_json<accept_result>(*body);
    if (!result.ok())
    {
        return report_error(result.status());
    }
    const accepted_plan& plan = result->record.plan;
    fmt::print("{} as version {} by {} at {} UTC through {}\n",
               result->is_new ? "accepted" : "was accepted before",
               plan.version, printable(plan.accepted_by),
               format_time(plan.accepted_unix_ms), result->record.host);
    return exit_done;
}

int plan_history(admin_client& client, const options& opts)
{
    const std::string path = fmt::format("plan/history?limit={}", opts.limit);
    if (opts.is_json)
    {
        return print_json(client.get(path));
    }
    const absl::StatusOr<admin_message::history_reply> history =
        get_as<admin_message::history_reply>(client, path);
    if (!history.ok())
    {
        return report_error(history.status());
    }
    table_rows rows{{"VERSION", "ACCEPTED (UTC)", "BY", "THROUGH", "DIGEST"}};
    for (const plan_record& record : history->versions)
    {
        rows.push_back({std::to_string(record.plan.version),
                        format_time(record.plan.accepted_unix_ms),
                        record.plan.accepted_by, record.host,
                        record.plan.digest});
    }
    fmt::print("{}", format_table(rows));
    return exit_done;
}

} // namespace egretspindle::ctl
