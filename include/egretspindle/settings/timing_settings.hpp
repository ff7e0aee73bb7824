/// \file
/// Periods and time limits.

#ifndef EGRETSPINDLE_SETTINGS_TIMING_SETTINGS_HPP
#define EGRETSPINDLE_SETTINGS_TIMING_SETTINGS_HPP

#include <cstdint>

namespace egretspindle
{

/// Periods and time limits in milliseconds.
struct timing_settings
{
    std::int64_t lease_ms = 6'000; ///< lease of a target's tasks
    /// Added to a lease before it counts as expired.
    std::int64_t lease_margin_ms = 500;
    std::int64_t renew_ms = 1'000;          ///< lease renewal period
    std::int64_t probe_ms = 500;            ///< probe period in the data centre
    std::int64_t probe_timeout_ms = 200;    ///< wait for a probe's reply
    std::int64_t suspicion_ms = 1'200;      ///< time from `suspect` to `dead`
    std::int64_t cross_probe_ms = 2'000;    ///< probe of another data centre
    std::int64_t ownership_read_ms = 2'000; ///< period of ownership row reads
    /// Before a preferred host takes over from a live owner.
    std::int64_t handover_delay_ms = 30'000;
    std::int64_t plan_poll_ms = 2'000; ///< period of reads of the accepted plan
    std::int64_t host_list_poll_ms = 1'000; ///< period of host list reads
    std::int64_t store_timeout_ms = 1'000;  ///< for one store call
    /// Time limit for writing the claim row of an urgent request.
    std::int64_t claim_row_ms = 100;
    std::int64_t shutdown_ms = 30'000; ///< longest graceful shutdown
};

} // namespace egretspindle

#endif
