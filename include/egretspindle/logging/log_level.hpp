/// \file
/// Severity of a log line.

#ifndef EGRETSPINDLE_LOGGING_LOG_LEVEL_HPP
#define EGRETSPINDLE_LOGGING_LOG_LEVEL_HPP

#include <optional>
#include <string_view>

namespace egretspindle
{

/// Severity, lowest first.
enum class log_level
{
    debug,
    info,
    warning,
    error,
};

/// Returns the name of a level, for example `warning`.
[[nodiscard]] std::string_view to_string(log_level level) noexcept;

/// Returns the level with the given name.
[[nodiscard]] std::optional<log_level>
log_level_from(std::string_view name) noexcept;

} // namespace egretspindle

#endif
