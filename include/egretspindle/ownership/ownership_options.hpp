/// \file
/// Settings of the ownership service.

#ifndef EGRETSPINDLE_OWNERSHIP_OWNERSHIP_OPTIONS_HPP
#define EGRETSPINDLE_OWNERSHIP_OWNERSHIP_OPTIONS_HPP

#include "egretspindle/core/clock.hpp"

#include <string>

namespace egretspindle
{

inline constexpr milliseconds default_row_read_period{2000};
inline constexpr milliseconds default_row_scan_period{30'000};
inline constexpr milliseconds default_handover_delay{30'000};
inline constexpr milliseconds default_store_timeout{400};
inline constexpr milliseconds default_retry_delay{250};
/// Time for which calls to the store must have failed before targets are
/// claimed without it. Shorter than what remains of the previous owner's
/// leases.
inline constexpr milliseconds default_claim_delay{1000};
inline constexpr milliseconds default_claim_period{500};
inline constexpr milliseconds default_release_timeout{300};
inline constexpr milliseconds default_release_retry{2000};
inline constexpr milliseconds default_discovery_time{1500};
inline constexpr milliseconds default_rack_removal_delay{60'000};
inline constexpr milliseconds default_ownership_resume_gap{1000};
/// One lease, 6 s x 1.01 + 500 ms, after a host left the host list.
inline constexpr milliseconds default_absence_timeout{6560};

/// Identity of the host, and periods and time limits of rack ownership.
struct ownership_options
{
    std::string name;
    std::string data_center;

    milliseconds row_read_period = default_row_read_period; ///< of owned racks
    milliseconds row_scan_period = default_row_scan_period; ///< of all racks
    milliseconds handover_delay =
        default_handover_delay; ///< a live owner keeps its rack for this long
    milliseconds store_timeout = default_store_timeout;
    milliseconds retry_delay = default_retry_delay;
    milliseconds claim_delay = default_claim_delay;
    milliseconds claim_period = default_claim_period;
    milliseconds release_timeout = default_release_timeout;
    milliseconds release_retry = default_release_retry;
    /// Time after the start for discovering live hosts. Until then, this host
    /// acquires only racks that it owned before or that are offered to it.
    milliseconds discovery_time = default_discovery_time;
    milliseconds rack_removal_delay =
        default_rack_removal_delay; ///< after it left the host list
    /// Time since the last decision after which this host counts as resumed
    /// from a pause and has to read the rows of its racks again.
    milliseconds resume_gap = default_ownership_resume_gap;
    /// Absence from the host list after which an earlier owner counts as
    /// released.
    milliseconds absence_timeout = default_absence_timeout;
};

} // namespace egretspindle

#endif
