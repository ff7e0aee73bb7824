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
/// Covers a probe timeout at the helper and the way there and back.
inline constexpr milliseconds default_indirect_timeout{450};
inline constexpr milliseconds default_suspicion_time{1200};
inline constexpr milliseconds default_cross_period{2000};
inline constexpr milliseconds default_reconnect_period{2000};
inline constexpr milliseconds default_join_period{500};
/// A full list of 130 members takes 45 KB, or 0.8 KB/s sent and received.
inline constexpr milliseconds default_sync_period{120'000};
inline constexpr milliseconds default_row_period{60'000};
/// No host can be declared dead sooner than probe timeout + suspicion time,
/// so that a shorter gap cannot have cost a rack.
inline constexpr milliseconds default_resume_gap{1000};
inline constexpr milliseconds default_stale_after{60'000};
inline constexpr milliseconds default_dead_retention{600'000};
/// Keeps a host with 130 members below 10 KB/s, sent and received together.
inline constexpr std::size_t default_max_message_bytes = 800;

/// Identity, contacts, periods and bounds of a member.
struct membership_options
{
    std::string name;
    std::string address; ///< `ip:port` that other hosts use
    std::string data_center;
    std::vector<std::string> seeds; ///< `ip:port` of hosts to join through
    /// Member name to `ip:port` to use instead of its advertised address.
    std::map<std::string, std::string> address_overrides;

    milliseconds probe_period = default_probe_period;
    milliseconds probe_timeout = default_probe_timeout;
    milliseconds indirect_timeout = default_indirect_timeout;
    milliseconds suspicion_time = default_suspicion_time;
    milliseconds cross_center_period =
        default_cross_period; ///< other data centres
    milliseconds reconnect_period =
        default_reconnect_period; ///< probes of dead members and seeds
    milliseconds join_period = default_join_period;
    milliseconds sync_period = default_sync_period; ///< full lists
    milliseconds row_period = default_row_period;   ///< scans of `member/`
    milliseconds resume_gap = default_resume_gap;
    milliseconds stale_after =
        default_stale_after; ///< without news, not relayed any more
    milliseconds dead_retention = default_dead_retention;
    std::size_t indirect_probes = 2;
    std::size_t max_message_bytes = default_max_message_bytes;
    std::uint64_t random_seed = 0; ///< 0 takes one from the system
    std::int64_t incarnation = 0;  ///< 0 takes the time of day
};

} // namespace egretspindle

#endif
