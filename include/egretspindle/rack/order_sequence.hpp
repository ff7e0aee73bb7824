/// \file
/// Order of starts and acknowledgements on targets that restart.
///
/// A target that restarts under its id carries out orders that were sent to its
/// former boot, and numbers its ends anew. An acknowledgement for the former
/// boot would thus discard ends of the new one that nobody has read. Two rules
/// prevent this:
///
/// - An acknowledgement is sent only while every earlier start is known to have
///   been carried out by the boot that listed the ends, or by none.
/// - A start has a higher fencing token than each earlier acknowledgement that
///   may still be carried out. A boot that has carried out the start refuses
///   these.

#ifndef EGRETSPINDLE_RACK_ORDER_SEQUENCE_HPP
#define EGRETSPINDLE_RACK_ORDER_SEQUENCE_HPP

#include "egretspindle/core/clock.hpp"
#include "egretspindle/rack/rack_state.hpp"

#include <cstdint>
#include <string_view>

namespace egretspindle
{

/// Returns the fencing token of the next order to a target: the version of the
/// owner, followed by 28 bits that `begin_start` raises.
[[nodiscard]] std::int64_t order_token(const rack_state& rack,
                                       const rack_target& target);

/// Why the ends that a target lists are not acknowledged.
enum class ack_blocker
{
    none,           ///< none is listed, or the next poll acknowledges some
    record,         ///< the owner of the job has not recorded the oldest one
    open_start,     ///< a start has been sent and not answered yet
    late_start,     ///< one without an answer may still be carried out
    unproven_start, ///< a later boot may have carried out an answered one
    restart,        ///< the platform has listed a restart
    token,          ///< the fencing token cannot be raised any more
};

/// Returns the name of a reason for log lines and metrics.
[[nodiscard]] std::string_view to_string(ack_blocker value) noexcept;

/// Returns why the ends that a target lists are not acknowledged now.
[[nodiscard]] ack_blocker find_ack_blocker(const rack_target& target,
                                           time_point now);

/// Returns whether ends may be acknowledged to a target now.
[[nodiscard]] bool may_acknowledge(const rack_target& target, time_point now);

/// Returns whether a later boot of the target than the one that answered the
/// last poll may run starts that this owner sent.
[[nodiscard]] bool may_run_in_later_boot(const rack_target& target) noexcept;

/// Returns whether the target still lists ends that are recorded.
[[nodiscard]] bool has_recorded_ends(const rack_target& target) noexcept;

/// Returns the number up to which the next poll acknowledges ends; 0: none.
[[nodiscard]] std::int64_t next_acknowledgement(const rack_target& target,
                                                time_point now);

/// Records that a poll that acknowledges ends is about to be sent.
void begin_acknowledgement(rack_target& target);

/// Records the result of a poll that acknowledges ends.
///
/// \param is_settled  whether it was answered within its timeout; otherwise it
///                    may still be carried out for `max_order_delay`
void end_acknowledgement(rack_target& target, bool is_settled, time_point now);

/// Records that a start is about to be sent, and raises the fencing token of
/// the orders to its target if necessary. One start is sent at a time.
void begin_start(rack_state& rack, rack_target& target, time_point now);

/// Records that the start was answered or has failed. A start without an answer
/// is recorded by `add_unanswered_start` in addition.
///
/// \param clock_ms  clock of the target in the answer; 0: not known
void end_start(rack_target& target, std::int64_t clock_ms,
               const lease_limits& limits, time_point now);

} // namespace egretspindle

#endif
