#include "egretspindle/plan/parse_plan.hpp"

#include "egretspindle/core/error.hpp"
#include "egretspindle/core/toml.hpp"

#include "section_reader.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <functional>
#include <optional>

namespace egretspindle
{

namespace
{

using plan_detail::is_identifier;
using plan_detail::section_reader;
using problem_list = std::vector<plan_problem>;

// Bounds the log line and reply for a malicious document.
constexpr std::size_t max_listed_problems = 100;
constexpr std::int64_t max_count = 1'000'000;
constexpr double max_resource_amount = 1e9;
constexpr std::int64_t max_deadline_ms = 24LL * 3600 * 1000;
constexpr int min_window_minutes = 5;
constexpr int minutes_per_day = 24 * 60;
// Decimal fractions are not exact in binary, so sums of shares need a
// tolerance.
constexpr double share_tolerance = 1e-9;

team_section read_team(section_reader& reader)
{
    team_section section;
    reader.read_number("quota", section.quota, 0, 1);
    reader.read_number("weight", section.weight, 0.001, 1000);
    reader.read_number("urgent_floor", section.urgent_floor, 0, 1);
    reader.read_number("batch_floor", section.batch_floor, 0, 1);
    reader.read_integer("max_queue", section.max_queue, 0, max_count,
                        "requests");
    if (section.urgent_floor + section.batch_floor >
        section.quota + share_tolerance)
    {
        reader.add_problem(fmt::format(
            "urgent_floor + batch_floor is {:.3g}, above "
            "the quota {:.3g}; lower the floors or "
            "raise the quota",
            section.urgent_floor + section.batch_floor, section.quota));
    }
    return section;
}

service_section read_service(section_reader& reader)
{
    service_section section;
    reader.read_owner(section.team);
    reader.read_integer("deadline_ms", section.deadline_ms, 1, max_deadline_ms,
                        "milliseconds");
    reader.read_integer("max_running", section.max_running, 0, max_count,
                        "attempts");
    reader.read_number("max_cpu_cores", section.max_cpu_cores, 0,
                       max_resource_amount);
    reader.read_number("max_memory_mb", section.max_memory_mb, 0,
                       max_resource_amount);
    reader.read_integer("max_accelerators", section.max_accelerators, 0,
                        max_count, "accelerators");
    return section;
}

batch_section read_batch(section_reader& reader)
{
    batch_section section;
    reader.read_owner(section.team);
    reader.read_integer("priority", section.priority, 0, 100,
                        "priority points");
    return section;
}

hosts_section read_hosts(section_reader& reader)
{
    hosts_section section;
    reader.read_owner(section.team);
    reader.read_strings("leaving", section.leaving);
    std::vector<std::string> sorted = section.leaving;
    std::sort(sorted.begin(), sorted.end());
    if (std::adjacent_find(sorted.begin(), sorted.end()) != sorted.end())
    {
        reader.add_problem("`leaving` names a host twice; name each host once");
    }
    return section;
}

std::optional<int> parse_minute(std::string_view text)
{
    const auto is_digit = [](char c)
    {
        return c >= '0' && c <= '9';
    };
    if (text.size() != 5 || text[2] != ':' || !is_digit(text[0]) ||
        !is_digit(text[1]) || !is_digit(text[3]) || !is_digit(text[4]))
    {
        return std::nullopt;
    }
    const int hour = (text[0] - '0') * 10 + (text[1] - '0');
    const int minute = (text[3] - '0') * 10 + (text[4] - '0');
    if (hour > 23 || minute > 59)
    {
        return std::nullopt;
    }
    return hour * 60 + minute;
}

std::optional<break_window> parse_window(std::string_view text)
{
    if (text.size() != 11 || text[5] != '-')
    {
        return std::nullopt;
    }
    const std::optional<int> from = parse_minute(text.substr(0, 5));
    const std::optional<int> to = parse_minute(text.substr(6));
    if (!from || !to || *from == *to)
    {
        return std::nullopt;
    }
    const int length = (*to - *from + minutes_per_day) % minutes_per_day;
    if (length < min_window_minutes)
    {
        return std::nullopt;
    }
    return break_window{*from, *to};
}

break_section read_breaks(section_reader& reader)
{
    break_section section;
    reader.read_owner(section.team);
    std::vector<std::string> texts;
    reader.read_strings("windows", texts);
    for (std::size_t n = 0; n < texts.size(); ++n)
    {
        const std::optional<break_window> window = parse_window(texts[n]);
        if (!window)
        {
            reader.add_problem(fmt::format(
                "windows[{}] must be `HH:MM-HH:MM` in UTC, from 00:00 to "
                "23:59, and at least {} minutes long",
                n, min_window_minutes));
            continue;
        }
        section.windows.push_back(*window);
    }
    if (texts.empty())
    {
        reader.add_problem(
            "`windows` must name at least one window; without one "
            "the plan could never be changed again");
    }
    return section;
}

template <typename Section>
void read_group(const toml::table& root, std::string_view group,
                const std::function<Section(section_reader&)>& read,
                std::map<std::string, Section>& sections,
                problem_list& problems)
{
    const toml::node* node = root.get(group);
    if (node == nullptr)
    {
        return;
    }
    const toml::table* table = node->as_table();
    if (table == nullptr)
    {
        problems.push_back(
            {std::string(group),
             fmt::format("write sections of the form [{}.NAME]", group)});
        return;
    }
    for (const auto& [key, section] : *table)
    {
        if (!is_identifier(key.str()) || !section.is_table())
        {
            problems.push_back(
                {std::string(group),
                 fmt::format("write sections of the form [{}.NAME], NAME "
                             "being 1 to 64 characters of [A-Za-z0-9_-]",
                             group)});
            continue;
        }
        section_reader reader(*section.as_table(),
                              fmt::format("{}.{}", group, key.str()), problems);
        sections.emplace(std::string(key.str()), read(reader));
        reader.check_unknown_keys();
    }
}

template <typename Section>
void read_single(const toml::table& root, std::string_view name,
                 const std::function<Section(section_reader&)>& read,
                 Section& section, problem_list& problems)
{
    const toml::node* node = root.get(name);
    if (node == nullptr || !node->is_table())
    {
        problems.push_back(
            {std::string(name), fmt::format("add the section [{}]", name)});
        return;
    }
    section_reader reader(*node->as_table(), std::string(name), problems);
    section = read(reader);
    reader.check_unknown_keys();
}

void check_top_level(const toml::table& root, problem_list& problems)
{
    static const std::vector<std::string_view> known{"team", "service", "batch",
                                                     "hosts", "break"};
    for (const auto& [key, node] : root)
    {
        if (std::find(known.begin(), known.end(), key.str()) == known.end())
        {
            problems.push_back({is_identifier(key.str())
                                    ? std::string(key.str())
                                    : std::string(),
                                "unknown section; use team.NAME, "
                                "service.KIND, batch.KIND, hosts or break"});
        }
    }
}

void check_floors(const plan_document& document, problem_list& problems)
{
    double sum = 0;
    for (const auto& [name, team] : document.teams)
    {
        sum += team.urgent_floor + team.batch_floor;
    }
    if (sum > 1 + share_tolerance)
    {
        problems.push_back(
            {"", fmt::format("the floors of all teams sum to {:.3f}; lower "
                             "them to at most 1",
                             sum)});
    }
    if (document.teams.empty())
    {
        problems.push_back({"", "add a section [team.NAME] for each team"});
    }
}

void check_owner(const plan_document& document, const std::string& section,
                 const std::string& team, problem_list& problems)
{
    if (!team.empty() && document.teams.count(team) == 0)
    {
        problems.push_back(
            {section, fmt::format("unknown team `{}`; correct the name or add "
                                  "the section [team.{}]",
                                  team, team)});
    }
}

void check_references(const plan_document& document, problem_list& problems)
{
    for (const auto& [kind, section] : document.services)
    {
        check_owner(document, "service." + kind, section.team, problems);
        if (document.batches.count(kind) > 0)
        {
            problems.push_back(
                {"service." + kind,
                 fmt::format("the kind is also in [batch.{}]; remove one of "
                             "the two",
                             kind)});
        }
    }
    for (const auto& [kind, section] : document.batches)
    {
        check_owner(document, "batch." + kind, section.team, problems);
    }
    check_owner(document, "hosts", document.hosts.team, problems);
    check_owner(document, "break", document.breaks.team, problems);
}

plan_document read_document(std::string_view text, problem_list& problems)
{
    plan_document document;
    if (text.size() > max_plan_bytes)
    {
        problems.push_back({"", fmt::format("the document has {} bytes; "
                                            "shorten it to at most {}",
                                            text.size(), max_plan_bytes)});
        return document;
    }
    toml::table root;
    try
    {
        root = toml::parse(text);
    }
    catch (const toml::parse_error& error)
    {
        problems.push_back(
            {"", fmt::format("not TOML, correct line {}: {}",
                             error.source().begin.line, error.description())});
        return document;
    }
    check_top_level(root, problems);
    read_group<team_section>(root, "team", read_team, document.teams, problems);
    read_group<service_section>(root, "service", read_service,
                                document.services, problems);
    read_group<batch_section>(root, "batch", read_batch, document.batches,
                              problems);
    read_single<hosts_section>(root, "hosts", read_hosts, document.hosts,
                               problems);
    read_single<break_section>(root, "break", read_breaks, document.breaks,
                               problems);
    check_floors(document, problems);
    check_references(document, problems);
    if (problems.size() > max_listed_problems)
    {
        problems.resize(max_listed_problems);
    }
    return document;
}

} // namespace

absl::StatusOr<plan_document> parse_plan(std::string_view text)
{
    problem_list problems;
    plan_document document = read_document(text, problems);
    if (problems.empty())
    {
        return document;
    }
    std::string message = "the plan has errors:";
    for (const plan_problem& problem : problems)
    {
        message += fmt::format(
            " [{}] {};", problem.section.empty() ? "document" : problem.section,
            problem.message);
    }
    message.pop_back();
    return make_error(error_kind::invalid_argument, message);
}

std::vector<plan_problem> validate_plan(std::string_view text,
                                        const plan_context& context)
{
    problem_list problems;
    const plan_document document = read_document(text, problems);
    if (!context.known_hosts)
    {
        return problems;
    }
    for (const std::string& host : document.hosts.leaving)
    {
        if (context.known_hosts->count(host) == 0)
        {
            problems.push_back(
                {"hosts", fmt::format("unknown host `{}` in `leaving`; correct "
                                      "the name or remove it",
                                      host.substr(0, 64))});
        }
    }
    return problems;
}

} // namespace egretspindle
