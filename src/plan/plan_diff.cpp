#include "egretspindle/plan/plan_diff.hpp"

#include <algorithm>
#include <map>
#include <vector>

namespace egretspindle
{

namespace
{

using line_list = std::vector<std::string_view>;

// If the product of the line counts of a section is larger, all its lines are
// shown as replaced, which bounds the memory of the comparison.
constexpr std::size_t max_comparisons = 4'000'000;

line_list split_lines(std::string_view text)
{
    line_list lines;
    while (!text.empty())
    {
        const std::size_t end = std::min(text.find('\n'), text.size());
        lines.push_back(text.substr(0, end));
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return lines;
}

// Splits a document at section headers. Each section includes its header; empty
// lines are dropped.
std::map<std::string_view, line_list> split_sections(std::string_view text)
{
    std::map<std::string_view, line_list> sections;
    std::string_view header;
    for (const std::string_view line : split_lines(text))
    {
        if (!line.empty() && line.front() == '[' && line.back() == ']')
        {
            header = line;
        }
        if (!line.empty())
        {
            sections[header].push_back(line);
        }
    }
    return sections;
}

void append(std::string& out, std::string_view mark, std::string_view line)
{
    out += mark;
    out += line;
    out += '\n';
}

// Appends the difference of two sections, which is found as their longest
// common subsequence by dynamic programming.
void append_diff(std::string& out, const line_list& before,
                 const line_list& after)
{
    const std::size_t columns = after.size() + 1;
    const bool is_small = before.size() * after.size() <= max_comparisons;
    std::vector<unsigned> common(is_small ? (before.size() + 1) * columns : 0,
                                 0);
    for (std::size_t i = before.size(); is_small && i-- > 0;)
    {
        for (std::size_t j = after.size(); j-- > 0;)
        {
            common[i * columns + j] =
                before[i] == after[j] ? common[(i + 1) * columns + j + 1] + 1
                                      : std::max(common[(i + 1) * columns + j],
                                                 common[i * columns + j + 1]);
        }
    }
    std::size_t i = 0;
    std::size_t j = 0;
    while (i < before.size() || j < after.size())
    {
        if (i < before.size() && j < after.size() && before[i] == after[j])
        {
            append(out, "  ", before[i++]);
            ++j;
        }
        else if (i < before.size() &&
                 (j == after.size() || !is_small ||
                  common[(i + 1) * columns + j] >= common[i * columns + j + 1]))
        {
            append(out, "- ", before[i++]);
        }
        else
        {
            append(out, "+ ", after[j++]);
        }
    }
}

} // namespace

std::string plan_diff(std::string_view before, std::string_view after)
{
    std::map<std::string_view, line_list> old_sections = split_sections(before);
    std::map<std::string_view, line_list> new_sections = split_sections(after);
    for (const auto& [header, lines] : new_sections)
    {
        old_sections[header];
    }
    std::string out;
    for (const auto& [header, lines] : old_sections)
    {
        if (lines != new_sections[header])
        {
            append_diff(out, lines, new_sections[header]);
        }
    }
    return out;
}

} // namespace egretspindle
