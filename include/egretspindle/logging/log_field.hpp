/// \file
/// Field of a log line.

#ifndef EGRETSPINDLE_LOGGING_LOG_FIELD_HPP
#define EGRETSPINDLE_LOGGING_LOG_FIELD_HPP

#include <fmt/format.h>

#include <string>
#include <string_view>
#include <type_traits>

namespace egretspindle
{

/// Name and value of a field. Text and numbers convert implicitly.
struct log_field
{
    std::string_view name;
    std::string value;
    bool is_quoted = true; ///< text rather than a number or boolean

    template <typename T>
    log_field(std::string_view field_name, const T& field_value)
        : name(field_name), is_quoted(!std::is_arithmetic_v<T>)
    {
        if constexpr (std::is_floating_point_v<T>)
        {
            value = fmt::format("{:.6g}", field_value);
            // JSON has no representation of infinities and NaN.
            is_quoted = value.find_first_of("ni") != std::string::npos;
        }
        else if constexpr (std::is_arithmetic_v<T>)
        {
            value = fmt::format("{}", field_value);
        }
        else
        {
            value = std::string(std::string_view(field_value));
        }
    }
};

} // namespace egretspindle

#endif
