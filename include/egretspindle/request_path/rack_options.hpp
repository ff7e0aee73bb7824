/// \file
/// Settings of the racks that a host owns.

#ifndef EGRETSPINDLE_REQUEST_PATH_RACK_OPTIONS_HPP
#define EGRETSPINDLE_REQUEST_PATH_RACK_OPTIONS_HPP

#include "egretspindle/core/clock.hpp"

#include <string>

namespace egretspindle
{

/// Settings of a rack runtime.
struct rack_options
{
    std::string host_name;
    /// Length of a lease, from the reading of the target's clock on which it is
    /// based.
    milliseconds lease{6000};
    /// Pause between two renewals of the lease of a target.
    milliseconds renew_period{1000};
    /// Margin added to the lease, beyond the clock drift, before it is
    /// considered expired. Covers the pause between the reading of a target's
    /// clock and its local timestamp.
    milliseconds lease_margin{500};
    /// Largest difference allowed between the rates of two monotonic clocks, as
    /// a fraction; 0.01 is 10 ms per second.
    double clock_drift = 0.01;
    /// Longest time between the sending of a start and its arrival, on the
    /// target's clock; the target refuses a later one.
    milliseconds start_window{1500};
    /// How long a reservation is held for its start.
    milliseconds reservation_timeout{4000};
    /// How long a new owner waits for responses from all targets before it
    /// places work, from the creation of the rack runtime.
    milliseconds rebuild_timeout{1200};
    /// Delay before the end of an urgent attempt is reported; its coordinator
    /// usually knows it already.
    milliseconds urgent_report_delay{1500};
    /// Delay before the report of an end is repeated while the coordinator has
    /// not recorded it.
    milliseconds report_retry_interval{500};
    /// Batch attempts with a declared run time up to this are watched for their
    /// end; the end of longer ones is detected by the next lease renewal.
    milliseconds max_watched_run_time{60'000};
    /// Largest number of threads that watch attempts; further ones wait.
    std::size_t max_watchers = 96;
};

} // namespace egretspindle

#endif
