#include "egretspindle/logging/log_format.hpp"
#include "egretspindle/logging/log_level.hpp"

namespace egretspindle
{

std::string_view to_string(log_level level) noexcept
{
    switch (level)
    {
    case log_level::debug:
        return "debug";
    case log_level::info:
        return "info";
    case log_level::warning:
        return "warning";
    case log_level::error:
        return "error";
    }
    return "error";
}

std::optional<log_level> log_level_from(std::string_view name) noexcept
{
    for (const log_level level : {log_level::debug, log_level::info,
                                  log_level::warning, log_level::error})
    {
        if (to_string(level) == name)
        {
            return level;
        }
    }
    return std::nullopt;
}

std::string_view to_string(log_format format) noexcept
{
    return format == log_format::json ? "json" : "logfmt";
}

std::optional<log_format> log_format_from(std::string_view name) noexcept
{
    for (const log_format format : {log_format::logfmt, log_format::json})
    {
        if (to_string(format) == name)
        {
            return format;
        }
    }
    return std::nullopt;
}

} // namespace egretspindle
