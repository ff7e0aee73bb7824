/// \file
/// Format and level of log lines.

#ifndef EGRETSPINDLE_SETTINGS_LOG_SETTINGS_HPP
#define EGRETSPINDLE_SETTINGS_LOG_SETTINGS_HPP

#include <string>

namespace egretspindle
{

/// Log format and level, named as in the settings file. `log_format_from` and
/// `log_level_from` convert the names.
struct log_settings
{
    std::string format = "logfmt"; ///< `logfmt` or `json`
    std::string level = "info";    ///< `debug`, `info`, `warning`, `error`
};

} // namespace egretspindle

#endif
