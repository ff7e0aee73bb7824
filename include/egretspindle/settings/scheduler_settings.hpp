/// \file
/// Settings of a job scheduler process.

#ifndef EGRETSPINDLE_SETTINGS_SCHEDULER_SETTINGS_HPP
#define EGRETSPINDLE_SETTINGS_SCHEDULER_SETTINGS_HPP

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace egretspindle
{

/// Seconds from SIGTERM to SIGKILL, unless the settings say otherwise.
constexpr double default_grace_s = 6.0;

/// The `[scheduler]` table of a settings file.
struct scheduler_settings
{
    std::string host;
    std::string data_center;
    std::string callers;         ///< `ip:port` that callers connect to
    std::string ready;           ///< `ip:port` of the readiness probe
    std::string peer;            ///< `ip:port` for messages of other hosts
    std::string store;           ///< `ip:port` of the platform's store
    bool may_span_parts = false; ///< store transactions may write several parts
    /// Longest lease that a target grants.
    std::int64_t longest_lease_ms = 10'000;
    /// A frozen target resumes at most this late.
    std::int64_t thaw_slack_ms = 300;
    /// A draining target starts no work after this time.
    std::int64_t drain_ms = 2'000;
    /// Seconds from SIGTERM to SIGKILL.
    double grace_s = default_grace_s;
    /// Cores of this host; sets its share of racks.
    double processor_share = 1.0;
};

/// Returns whether TOML text has a `[scheduler]` table.
[[nodiscard]] bool has_scheduler_settings(std::string_view text);

/// Checks the settings of TOML text.
///
/// \returns `invalid_argument` that lists every error by key, found value and
///          expected value, one per line
[[nodiscard]] absl::StatusOr<scheduler_settings>
parse_scheduler_settings(std::string_view text);

} // namespace egretspindle

#endif
