#include "egretspindle/rack/order_sequence.hpp"

#include <algorithm>

namespace egretspindle
{

namespace
{

// At most one raise for each acknowledgement: enough for two years at four a
// second.
constexpr int raise_bits = 28;
constexpr std::int64_t max_raises = (std::int64_t{1} << raise_bits) - 1;

bool may_be_carried_out(const ack_state& acks, time_point now)
{
    return acks.is_open || now < acks.late_until;
}

// Returns why orders that were sent to a target keep its ends from being
// acknowledged.
ack_blocker find_order_blocker(const rack_target& target, time_point now)
{
    if (target.token_raises >= max_raises)
    {
        return ack_blocker::token;
    }
    if (target.listed_restart_at != time_point{})
    {
        return ack_blocker::restart;
    }
    const bool has_late_starts = std::any_of(
        target.unanswered_starts.begin(), target.unanswered_starts.end(),
        [now](const auto& item) { return now <= item.second; });
    if (has_late_starts)
    {
        return ack_blocker::late_start;
    }
    if (target.last_poll.sent_at <= target.unproven_start_at)
    {
        return ack_blocker::unproven_start;
    }
    return target.is_start_open ? ack_blocker::open_start : ack_blocker::none;
}

// The clock of a target starts anew with each boot. A boot that began after the
// last answered poll was sent shows less than the time since then.
bool is_clock_of_last_poll(const poll_reading& poll, std::int64_t clock_ms,
                           const lease_limits& limits, time_point now)
{
    const std::chrono::duration<double, std::milli> since = now - poll.sent_at;
    return clock_ms >= poll.clock_ms &&
           static_cast<double>(poll.clock_ms) >
               since.count() * (1.0 + limits.clock_drift);
}

} // namespace

std::int64_t order_token(const rack_state& rack, const rack_target& target)
{
    return rack.token * (max_raises + 1) + target.token_raises;
}

std::string_view to_string(ack_blocker value) noexcept
{
    switch (value)
    {
    case ack_blocker::record:
        return "record";
    case ack_blocker::open_start:
        return "open_start";
    case ack_blocker::late_start:
        return "late_start";
    case ack_blocker::unproven_start:
        return "unproven_start";
    case ack_blocker::restart:
        return "restart";
    case ack_blocker::token:
        return "token";
    case ack_blocker::none:
        break;
    }
    return "none";
}

ack_blocker find_ack_blocker(const rack_target& target, time_point now)
{
    if (target.listed_ends == 0 && !has_recorded_ends(target))
    {
        return ack_blocker::none;
    }
    const ack_blocker orders = find_order_blocker(target, now);
    return orders == ack_blocker::none && !has_recorded_ends(target)
               ? ack_blocker::record
               : orders;
}

bool may_acknowledge(const rack_target& target, time_point now)
{
    return find_order_blocker(target, now) == ack_blocker::none;
}

bool may_run_in_later_boot(const rack_target& target) noexcept
{
    return !target.unanswered_starts.empty() ||
           target.unproven_start_at > target.last_poll.sent_at;
}

bool has_recorded_ends(const rack_target& target) noexcept
{
    return target.acknowledged > target.acks.confirmed;
}

std::int64_t next_acknowledgement(const rack_target& target, time_point now)
{
    return has_recorded_ends(target) && may_acknowledge(target, now)
               ? target.acknowledged
               : 0;
}

void begin_acknowledgement(rack_target& target)
{
    target.acks.is_open = true;
    target.acks.raises = target.token_raises;
}

void end_acknowledgement(rack_target& target, bool is_settled, time_point now)
{
    target.acks.is_open = false;
    if (!is_settled)
    {
        target.acks.late_until = now + max_order_delay;
    }
}

void begin_start(rack_state& rack, rack_target& target, time_point now)
{
    target.is_start_open = true;
    if (may_be_carried_out(target.acks, now) &&
        target.acks.raises == target.token_raises)
    {
        ++target.token_raises;
        rack.token_raises = std::max(rack.token_raises, target.token_raises);
    }
}

void end_start(rack_target& target, std::int64_t clock_ms,
               const lease_limits& limits, time_point now)
{
    target.is_start_open = false;
    if (!is_clock_of_last_poll(target.last_poll, clock_ms, limits, now))
    {
        target.unproven_start_at = now;
    }
}

} // namespace egretspindle
