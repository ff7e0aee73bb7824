#include "egretspindle/jobs/task_key.hpp"

#include <fmt/format.h>

#include <charconv>

namespace egretspindle
{

namespace
{

// Parses the number after the last dot of `text` and cuts `text` before the
// dot.
bool parse_last_number(std::string_view& text, std::size_t& number)
{
    const std::size_t dot = text.rfind('.');
    if (dot == std::string_view::npos)
    {
        return false;
    }
    const char* last = text.data() + text.size();
    const auto [end, ec] = std::from_chars(text.data() + dot + 1, last, number);
    text = text.substr(0, dot);
    return ec == std::errc() && end == last;
}

} // namespace

std::string to_string(const task_key& key)
{
    return fmt::format("{}.{}.{}.{}", key.job, key.occurrence, key.step,
                       key.index);
}

std::optional<task_key> parse_task_key(std::string_view text)
{
    task_key key;
    if (!parse_last_number(text, key.index) ||
        !parse_last_number(text, key.step) ||
        !parse_last_number(text, key.occurrence) || text.empty())
    {
        return std::nullopt;
    }
    key.job = std::string(text);
    return key;
}

} // namespace egretspindle
