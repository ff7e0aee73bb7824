/// \file
/// Log lines on standard output.

#ifndef EGRETSPINDLE_LOGGING_LOG_HPP
#define EGRETSPINDLE_LOGGING_LOG_HPP

#include "egretspindle/logging/log_field.hpp"
#include "egretspindle/logging/log_format.hpp"
#include "egretspindle/logging/log_level.hpp"

#include <initializer_list>
#include <string>
#include <string_view>

namespace egretspindle
{

/// Fields of one line.
using log_fields = std::initializer_list<log_field>;

/// Sets the format and the lowest level that is written.
///
/// Without a call: logfmt, `info`.
void configure_logging(log_format format, log_level lowest) noexcept;

/// Replaces a secret by `[redacted]` in every later line.
///
/// Texts shorter than 8 characters are ignored, as they would match
/// ordinary words.
void redact_in_logs(std::string_view secret);

/// Replaces all hidden secrets in a text.
void redact_secrets(std::string& text);

/// Returns whether lines of the level are written.
[[nodiscard]] bool is_logged(log_level level) noexcept;

/// Writes one line, unless standard output does not take it at once. Lines
/// that were left out are counted and reported with the next one.
///
/// \code
/// log_info("placed", {{"request", key}, {"rack", rack}, {"wait_ms", 3}});
/// \endcode
void log(log_level level, std::string_view message, log_fields fields);

/// Writes a line at level `debug`.
void log_debug(std::string_view message, log_fields fields = {});

/// Writes a line at level `info`.
void log_info(std::string_view message, log_fields fields = {});

/// Writes a line at level `warning`.
void log_warning(std::string_view message, log_fields fields = {});

/// Writes a line at level `error`.
void log_error(std::string_view message, log_fields fields = {});

} // namespace egretspindle

#endif
