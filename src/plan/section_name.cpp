#include "egretspindle/plan/section_name.hpp"

#include "egretspindle/core/error.hpp"
#include "egretspindle/core/toml.hpp"
#include "egretspindle/plan/parse_plan.hpp"

#include "section_reader.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <optional>
#include <tuple>

namespace egretspindle
{

namespace
{

constexpr std::array<std::string_view, 5> groups{"team", "service", "batch",
                                                 "hosts", "break"};

std::string_view group_of(std::string_view name)
{
    return name.substr(0, name.find('.'));
}

std::size_t group_rank(std::string_view name)
{
    return static_cast<std::size_t>(
        std::find(groups.begin(), groups.end(), group_of(name)) -
        groups.begin());
}

std::string add_header(std::string_view name, std::string_view text)
{
    std::string result = fmt::format("[{}]\n{}", name, text);
    if (result.back() != '\n')
    {
        result += '\n';
    }
    return result;
}

std::optional<toml::table> parse_keys(std::string_view text)
{
    try
    {
        return toml::parse(text);
    }
    catch (const toml::parse_error&)
    {
        return std::nullopt;
    }
}

absl::Status malformed_text_error(std::string_view name,
                                  std::string_view detail)
{
    return make_error(
        error_kind::invalid_argument,
        fmt::format("section {} is not TOML, correct it: {}", name, detail));
}

} // namespace

bool is_section_name(std::string_view name)
{
    if (name == "hosts" || name == "break")
    {
        return true;
    }
    const std::string_view group = group_of(name);
    return (group == "team" || group == "service" || group == "batch") &&
           name.size() > group.size() &&
           plan_detail::is_identifier(name.substr(group.size() + 1));
}

absl::Status check_section_text(std::string_view name, std::string_view text)
{
    if (!is_section_name(name))
    {
        return make_error(error_kind::invalid_argument,
                          "unknown section; use team.NAME, service.KIND, "
                          "batch.KIND, hosts or break");
    }
    if (text.size() > max_plan_bytes)
    {
        return make_error(error_kind::too_large,
                          fmt::format("the section has {} bytes; shorten the "
                                      "whole plan to at most {}",
                                      text.size(), max_plan_bytes));
    }
    try
    {
        const toml::table keys = toml::parse(text);
        const bool has_table =
            std::any_of(keys.begin(), keys.end(),
                        [](const auto& entry) {
                            return entry.second.is_table() ||
                                   entry.second.is_array_of_tables();
                        });
        if (has_table)
        {
            return make_error(error_kind::invalid_argument,
                              "a section has no tables; edit each section on "
                              "its own and leave out its header");
        }
        // Parsed again as it stands in the document: a byte order mark is valid
        // at the start of a text but not after the header.
        static_cast<void>(toml::parse(add_header(name, text)));
    }
    catch (const toml::parse_error& error)
    {
        return malformed_text_error(name, fmt::format("line {}: {}",
                                                      error.source().begin.line,
                                                      error.description()));
    }
    return absl::OkStatus();
}

std::string section_owner(std::string_view name, std::string_view text)
{
    if (group_of(name) == "team")
    {
        return std::string(name.substr(std::min<std::size_t>(5, name.size())));
    }
    const std::optional<toml::table> keys = parse_keys(text);
    return keys ? (*keys)["team"].value_or(std::string()) : std::string();
}

std::string assemble_document(absl::Span<const plan_section> sections)
{
    std::vector<const plan_section*> ordered;
    for (const plan_section& section : sections)
    {
        if (!section.removed)
        {
            ordered.push_back(&section);
        }
    }
    std::sort(ordered.begin(), ordered.end(),
              [](const plan_section* lhs, const plan_section* rhs)
              {
                  return std::make_tuple(group_rank(lhs->name), lhs->name) <
                         std::make_tuple(group_rank(rhs->name), rhs->name);
              });
    std::string document;
    for (const plan_section* section : ordered)
    {
        document += document.empty() ? "" : "\n";
        document += add_header(section->name, section->text);
    }
    return document;
}

} // namespace egretspindle
