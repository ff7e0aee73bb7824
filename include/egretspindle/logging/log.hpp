/// \file
/// Logging to standard output.

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
/// The defaults are logfmt and `info`.
void configure_logging(log_format format, log_level min_level) noexcept;

/// Registers a secret, which is replaced by `[redacted]` in every later line.
///
/// Secrets shorter than 8 characters are ignored, as they could match parts of
/// ordinary words.
void redact_in_logs(std::string_view secret);

/// Replaces all registered secrets in a text by `[redacted]`.
void redact_secrets(std::string& text);

/// Returns whether lines of the level are written.
[[nodiscard]] bool is_logged(log_level level) noexcept;

/// Writes one line without blocking. A line that standard output cannot accept
/// immediately is dropped; dropped lines are counted, and their number is
/// logged once lines can be written again.
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
