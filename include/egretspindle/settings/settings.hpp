/// \file
/// Settings of an entry host.

#ifndef EGRETSPINDLE_SETTINGS_SETTINGS_HPP
#define EGRETSPINDLE_SETTINGS_SETTINGS_HPP

#include "egretspindle/settings/cluster_settings.hpp"
#include "egretspindle/settings/endpoint_settings.hpp"
#include "egretspindle/settings/host_settings.hpp"
#include "egretspindle/settings/limit_settings.hpp"
#include "egretspindle/settings/log_settings.hpp"
#include "egretspindle/settings/operator_settings.hpp"
#include "egretspindle/settings/timing_settings.hpp"

#include <absl/status/statusor.h>

#include <string>
#include <string_view>
#include <vector>

namespace egretspindle
{

/// Contents of the settings file of an entry host.
struct settings
{
    host_settings host;
    listen_settings listen;
    std::string advertise_peer; ///< `[advertise] peer`; default: listen.peer
    cluster_settings cluster;
    platform_settings platform;
    limit_settings limits;
    timing_settings timing;
    std::vector<operator_settings> operators;
    log_settings log;
};

/// Reads and checks a settings file.
///
/// Files named by `key_file` and `token_file` are read too; relative paths are
/// resolved against the directory of the settings file. The cluster key and the
/// tokens are redacted in all later log lines.
///
/// \returns `invalid_argument` that lists every error by key, found value and
///          expected value, one per line; `not_found` when the file cannot
///          be read
[[nodiscard]] absl::StatusOr<settings> load_settings(const std::string& path);

/// Checks settings from TOML text.
///
/// \param directory  base of relative paths in `key_file` and `token_file`
[[nodiscard]] absl::StatusOr<settings>
parse_settings(std::string_view text, const std::string& directory = ".");

/// Formats settings as TOML that `parse_settings` reads back. The text
/// contains the cluster key and the tokens.
[[nodiscard]] std::string format_settings(const settings& value);

} // namespace egretspindle

#endif
