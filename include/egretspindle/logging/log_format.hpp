/// \file
/// Format of log lines.

#ifndef EGRETSPINDLE_LOGGING_LOG_FORMAT_HPP
#define EGRETSPINDLE_LOGGING_LOG_FORMAT_HPP

#include <optional>
#include <string_view>

namespace egretspindle
{

/// Encoding of a log line.
enum class log_format
{
    logfmt, ///< `name=value` pairs
    json,   ///< one JSON object
};

/// Returns the name of a format, for example `logfmt`.
[[nodiscard]] std::string_view to_string(log_format format) noexcept;

/// Returns the format with the given name.
[[nodiscard]] std::optional<log_format>
log_format_from(std::string_view name) noexcept;

} // namespace egretspindle

#endif
