/// \file
/// Rate of transactions while the store refuses calls for overload.

#ifndef EGRETSPINDLE_SCHEDULER_WRITE_PACE_HPP
#define EGRETSPINDLE_SCHEDULER_WRITE_PACE_HPP

#include "egretspindle/core/clock.hpp"

#include <cstdint>

namespace egretspindle
{

/// Rate of one host's transactions, which follows the answers of the store:
/// additive increase, multiplicative decrease.
///
/// The store refuses calls of all hosts together and tells nobody the rate that
/// is left. A refusal halves the rate of its host, and the rate rises by the
/// same amount each second on all hosts, so that hosts with much to write
/// approach equal rates. Hosts that write less are not delayed for long.
struct write_pace
{
    double calls_per_s = 0;   ///< 0: not limited
    time_point next_at;       ///< earliest start of the next call
    time_point limited_at;    ///< since then the rate has been limited
    time_point reduced_at;    ///< last decrease of the rate
    time_point raised_at;     ///< last change of the rate
    std::int64_t refused = 0; ///< calls since `limited_at`
};

/// Limits of `write_pace`.
struct write_pace_limits
{
    /// Rate after the first refusal, in calls a second. The share of a host on
    /// the grown sites: 1,200 calls a second for 43 hosts, less heartbeats and
    /// intents.
    double first_rate = 20;
    /// Lowest rate, in calls a second. A host that is always refused tries
    /// again about as often as after other failures (`max_backoff`).
    double min_rate = 1.25;
    /// Rate from which it is not limited any more, in calls a second. One
    /// transaction takes about 10 ms, so that a higher limit merges nothing.
    double free_rate = 100;
    /// Increase of the rate for each second, in calls a second. With a rate of
    /// 20 calls a second the store then refuses 2 of 100 calls, and a host
    /// returns from the lowest rate to its share in 5 s.
    double increase = 4;
};

/// Returns whether the rate is limited.
[[nodiscard]] bool is_limited(const write_pace& pace) noexcept;

/// Records the start of a call, which delays the next one.
///
/// \param spread  from 0.75 to 1.25, at random: factor of the interval, so that
///                hosts do not call at the same time
void note_call(write_pace& pace, time_point now, double spread) noexcept;

/// Applies the refusal of a call for overload. Refusals of calls that began
/// before the last decrease do not decrease the rate again.
///
/// \param begun_at  start of the call
/// \param spread    as for `note_call`
/// \returns whether the rate was not limited before
bool note_overload(write_pace& pace, const write_pace_limits& limits,
                   time_point begun_at, time_point now, double spread) noexcept;

/// Raises the rate after a call that the store carried out.
///
/// \returns whether the rate is not limited any more, but was before
bool note_success(write_pace& pace, const write_pace_limits& limits,
                  time_point now) noexcept;

/// Returns the mean interval between calls; 0 if the rate is not limited.
[[nodiscard]] milliseconds call_interval(const write_pace& pace) noexcept;

} // namespace egretspindle

#endif
