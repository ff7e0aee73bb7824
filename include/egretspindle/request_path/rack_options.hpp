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
    milliseconds lease{6000};
    milliseconds renew_period{1000};
    /// Added to the lease before it counts as expired; covers the pause
    /// between the reading of a target's clock and its local timestamp.
    milliseconds lease_margin{500};
    /// Relative error allowed between two monotonic clocks.
    double clock_drift = 0.01;
    /// Latest arrival of a start at its target after it was sent.
    milliseconds start_window{1500};
    /// How long a reservation is held for its start.
    milliseconds reservation_time{4000};
    /// How long a new owner waits for targets that do not answer.
    milliseconds rebuild_time{1200};
    /// Delay before the end of an urgent attempt is reported, since its
    /// coordinator usually has it already.
    milliseconds urgent_report_delay{1500};
    milliseconds report_retry{500};
    /// Ended attempts are watched up to this declared run time; longer ones
    /// are noticed at the next renewal.
    milliseconds watch_limit{60'000};
    std::size_t max_watchers = 96;
};

} // namespace egretspindle

#endif
