#include "section_reader.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <limits>

namespace egretspindle::plan_detail
{

namespace
{

// Bounds the length of an error message for a malicious key.
constexpr std::size_t max_printed_length = 64;

std::string to_printable(std::string_view text)
{
    std::string result;
    for (const char c : text.substr(0, max_printed_length))
    {
        const auto byte = static_cast<unsigned char>(c);
        result += byte < 0x20 || byte > 0x7e ? '?' : c;
    }
    return text.size() > max_printed_length ? result + "..." : result;
}

} // namespace

bool is_identifier(std::string_view name) noexcept
{
    return !name.empty() && name.size() <= 64 &&
           std::all_of(name.begin(), name.end(),
                       [](char c)
                       {
                           return (c >= 'a' && c <= 'z') ||
                                  (c >= 'A' && c <= 'Z') ||
                                  (c >= '0' && c <= '9') || c == '_' ||
                                  c == '-';
                       });
}

const toml::node* section_reader::read_key(std::string_view key)
{
    read_keys_.emplace_back(key);
    return table_.get(key);
}

void section_reader::read_number(std::string_view key, double& value,
                                 double low, double high)
{
    const toml::node* node = read_key(key);
    if (node == nullptr)
    {
        return;
    }
    const bool is_numeric = node->is_integer() || node->is_floating_point();
    const double read = is_numeric ? node->value_or(0.0)
                                   : std::numeric_limits<double>::quiet_NaN();
    // The negated form also rejects NaN.
    if (!(read >= low && read <= high))
    {
        add_problem(
            fmt::format("`{}` must be a number from {} to {}", key, low, high));
        return;
    }
    value = read;
}

void section_reader::read_integer(std::string_view key, std::int64_t& value,
                                  std::int64_t low, std::int64_t high,
                                  std::string_view unit)
{
    const toml::node* node = read_key(key);
    if (node == nullptr)
    {
        return;
    }
    const std::int64_t read =
        node->is_integer() ? node->value_or(std::int64_t{0}) : low - 1;
    if (read < low || read > high)
    {
        add_problem(fmt::format("`{}` must be an integer from {} to {} in {}",
                                key, low, high, unit));
        return;
    }
    value = read;
}

void section_reader::read_owner(std::string& team)
{
    const toml::node* node = read_key("team");
    if (node == nullptr || !node->is_string() ||
        !is_identifier(node->value_or(std::string_view())))
    {
        add_problem("`team` must name the team that owns the section");
        return;
    }
    team = node->value_or(std::string());
}

void section_reader::read_strings(std::string_view key,
                                  std::vector<std::string>& values)
{
    const toml::node* node = read_key(key);
    if (node == nullptr)
    {
        return;
    }
    const toml::array* array = node->as_array();
    if (array == nullptr ||
        !std::all_of(array->begin(), array->end(),
                     [](const toml::node& n) { return n.is_string(); }))
    {
        add_problem(fmt::format("`{}` must be an array of strings", key));
        return;
    }
    for (const toml::node& element : *array)
    {
        values.push_back(element.value_or(std::string()));
    }
}

void section_reader::add_problem(std::string message)
{
    problems_.push_back({section_, std::move(message)});
}

void section_reader::check_unknown_keys()
{
    for (const auto& [key, node] : table_)
    {
        if (std::find(read_keys_.begin(), read_keys_.end(), key.str()) ==
            read_keys_.end())
        {
            add_problem(fmt::format(
                "unknown key `{}`; remove it or use one of {}",
                to_printable(key.str()), fmt::join(read_keys_, ", ")));
        }
    }
}

} // namespace egretspindle::plan_detail
