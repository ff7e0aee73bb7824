/// \file
/// Encoding of log lines.

#ifndef EGRETSPINDLE_LOGGING_LOG_LINE_HPP
#define EGRETSPINDLE_LOGGING_LOG_LINE_HPP

#include "egretspindle/logging/log_field.hpp"
#include "egretspindle/logging/log_format.hpp"
#include "egretspindle/logging/log_level.hpp"

#include <absl/types/span.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace egretspindle
{

/// Encodes a line, including the final line feed.
///
/// Control characters are escaped and invalid UTF-8 is replaced, so that a
/// value cannot inject another line or field. Fields whose names denote
/// credentials (`token`, `mac`, `authorization`, `*_key`, ...) are shown as
/// `[redacted]`.
///
/// \param time_ms  milliseconds since the Unix epoch
[[nodiscard]] std::string format_log_line(log_format format, log_level level,
                                          std::int64_t time_ms,
                                          std::string_view message,
                                          absl::Span<const log_field> fields);

} // namespace egretspindle

#endif
