#include "caller_fields.hpp"

#include "egretspindle/core/error.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace egretspindle
{

namespace
{

constexpr std::size_t max_name_size = 128;

bool is_name_character(char c) noexcept
{
    return (c >= '0' && c <= '9') || (c >= 'A' && c <= 'Z') ||
           (c >= 'a' && c <= 'z') || c == '.' || c == '_' || c == '-';
}

} // namespace

absl::Status check_caller_name(std::string_view field, std::string_view value)
{
    // "." and ".." have a special meaning in paths.
    if (!value.empty() && value.size() <= max_name_size && value != "." &&
        value != ".." &&
        std::all_of(value.begin(), value.end(), is_name_character))
    {
        return absl::OkStatus();
    }
    return make_error(error_kind::invalid_argument,
                      fmt::format("'{}' must be 1 to {} letters, digits, '.', "
                                  "'_' or '-', and not '.' or '..'",
                                  field, max_name_size));
}

absl::Status check_caller_range(std::string_view field, double value,
                                double lowest, double highest)
{
    if (value >= lowest && value <= highest)
    {
        return absl::OkStatus();
    }
    return make_error(error_kind::invalid_argument,
                      fmt::format("'{}' must be from {} to {}, found {}", field,
                                  lowest, highest, value));
}

} // namespace egretspindle
