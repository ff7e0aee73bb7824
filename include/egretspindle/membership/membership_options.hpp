/// \file
/// Settings of the membership service.

#ifndef EGRETSPINDLE_MEMBERSHIP_MEMBERSHIP_OPTIONS_HPP
#define EGRETSPINDLE_MEMBERSHIP_MEMBERSHIP_OPTIONS_HPP

#include "egretspindle/core/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace egretspindle
{

inline constexpr milliseconds default_probe_period{500};
inline constexpr milliseconds default_probe_timeout{200};
/// Covers a probe timeout at the helper and the round trip to it.
inline constexpr milliseconds default_indirect_timeout{450};
inline constexpr milliseconds default_suspicion_time{1200};
inline constexpr milliseconds default_cross_center_period{2000};
inline constexpr milliseconds default_reconnect_period{2000};
inline constexpr milliseconds default_join_period{500};
/// A full list of 130 members takes 45 KB, which at this period is 0.8 KB/s
/// sent and received.
inline constexpr milliseconds default_sync_period{120'000};
inline constexpr milliseconds default_row_period{60'000};
/// Shorter than probe timeout + suspicion time, before which no host can be
/// declared dead: a host that pauses for less than this gap still owns its
/// racks.
inline constexpr milliseconds default_resume_gap{1000};
inline constexpr milliseconds default_stale_after{60'000};
inline constexpr milliseconds default_dead_retention{600'000};
/// Keeps a host with 130 members below 10 KB/s, sent and received together.
inline constexpr std::size_t default_max_message_bytes = 800;

/// Identity, contact addresses, periods and limits of a member.
struct membership_options
{
    std::string name;
    std::string address; ///< `ip:port` that other hosts use
    std::string data_center;
    std::vector<std::string> seeds; ///< `ip:port` of hosts to join through
    /// Maps a member name to the `ip:port` to use instead of the address that
    /// the member advertises.
    std::map<std::string, std::string> address_overrides;

    milliseconds probe_period = default_probe_period;
    milliseconds probe_timeout = default_probe_timeout;
    milliseconds indirect_timeout = default_indirect_timeout;
    milliseconds suspicion_time = default_suspicion_time;
    /// Between exchanges with a member of another data centre.
    milliseconds cross_center_period = default_cross_center_period;
    /// Between attempts to contact dead members and unknown contact addresses.
    milliseconds reconnect_period = default_reconnect_period;
    /// Between attempts to join while no other member is known.
    milliseconds join_period = default_join_period;
    /// Longest interval between requests for a full list of members.
    milliseconds sync_period = default_sync_period;
    milliseconds row_period = default_row_period; ///< scans of `member/`
    /// Time between two calls of `advance` that counts as a pause of the host.
    milliseconds resume_gap = default_resume_gap;
    /// Age of the last update after which a digest is no longer relayed.
    milliseconds stale_after = default_stale_after;
    /// Time after which members that are dead, leaving or, in other data
    /// centres, without updates are removed.
    milliseconds dead_retention = default_dead_retention;
    std::size_t indirect_probes = 2; ///< helpers asked after a failed probe
    std::size_t max_message_bytes = default_max_message_bytes;
    std::uint64_t random_seed = 0; ///< 0: taken from the random device
    std::int64_t incarnation = 0;  ///< 0: Unix time in milliseconds
};

} // namespace egretspindle

#endif
