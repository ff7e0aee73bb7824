#include "egretspindle/rack/rack_state.hpp"

#include <algorithm>

namespace egretspindle
{

namespace
{

milliseconds with_drift(std::int64_t target_ms, const lease_limits& limits)
{
    const double local_ms =
        static_cast<double>(target_ms) / (1.0 - limits.clock_drift);
    return milliseconds(static_cast<std::int64_t>(local_ms) + 1) +
           limits.expiry_slack;
}

void update_expiry(rack_target& target, const lease_limits& limits)
{
    const std::int64_t left =
        std::max<std::int64_t>(0, target.lease_until_ms - target.clock_ms);
    // The lease may have been sent to an earlier boot of the target, whose
    // clock was ahead; the target grants at most the longest lease, counted
    // from the latest order or answer.
    const time_point lease_end =
        std::min(target.clock_at + with_drift(left, limits),
                 std::max(target.clock_at, target.lease_sent_at) +
                     max_lease_duration(limits));
    const time_point former_end = target.former_leases_end.value_or(
        target.reached_at + max_lease_duration(limits));
    target.expires_at = std::max(
        {lease_end, target.unknown_lease_at + max_lease_duration(limits),
         former_end});
}

} // namespace

void confirm_ownership(rack_state& rack, const clock_reading& read_at,
                       const lease_limits& limits)
{
    rack.verified_at = std::max(rack.verified_at, read_at.steady);
    rack.may_grant_until =
        std::max(rack.may_grant_until, read_at.boot + limits.authority);
}

void extend_authority(rack_state& rack, boot_time_point now,
                      const lease_limits& limits)
{
    if (may_grant(rack, now))
    {
        rack.may_grant_until =
            std::max(rack.may_grant_until, now + limits.outage_step);
    }
}

bool may_grant(const rack_state& rack, boot_time_point now) noexcept
{
    return !rack.is_fenced && now < rack.may_grant_until;
}

task_size free_capacity(const rack_target& target)
{
    task_size room = target.entry.capacity;
    for (const auto& [id, run] : target.runs)
    {
        if (run.terms)
        {
            subtract_from(room, reservation_of(*run.terms));
        }
    }
    return room;
}

task_size eventual_capacity(const rack_target& target)
{
    task_size room = target.entry.capacity;
    for (const auto& [id, run] : target.runs)
    {
        if (run.terms && run.terms->is_long_running)
        {
            subtract_from(room, reservation_of(*run.terms));
        }
    }
    return room;
}

bool has_room_for_end(const rack_target& target) noexcept
{
    return target.listed_ends + target.runs.size() +
               target.unlisted_ends.size() <
           target.max_listed_ends;
}

bool accepts_starts(const rack_target& target, time_point now)
{
    return target.is_listed && target.is_recorded && target.is_reached &&
           !target.entry.is_draining && now >= target.avoid_until &&
           target.listed_restart_at == time_point{} &&
           has_room_for_end(target) &&
           std::all_of(target.runs.begin(), target.runs.end(),
                       [](const auto& item)
                       { return item.second.terms != nullptr; });
}

bool has_known_runs(const rack_target& target) noexcept
{
    return target.is_reached && !target.may_have_unread_ends;
}

std::int64_t clock_of(const rack_target& target, time_point now)
{
    return target.clock_ms + elapsed_ms(target.clock_at, now);
}

std::int64_t extend_lease(rack_target& target, const lease_limits& limits,
                          time_point now)
{
    const std::int64_t until = clock_of(target, now) + limits.lease.count();
    target.lease_until_ms = std::max(target.lease_until_ms, until);
    target.lease_sent_at = now;
    update_expiry(target, limits);
    return until;
}

milliseconds max_lease_duration(const lease_limits& limits)
{
    return with_drift(limits.longest.count(), limits);
}

milliseconds lease_duration(const lease_limits& limits)
{
    return with_drift(limits.lease.count(), limits);
}

void allow_for_stale_order(rack_target& target, const lease_limits& limits,
                           time_point now)
{
    target.unknown_lease_at = now + max_order_delay;
    update_expiry(target, limits);
}

void allow_for_resent_lease(rack_target& target, const lease_limits& limits,
                            time_point sent_at)
{
    target.lease_sent_at = std::max(target.lease_sent_at, sent_at);
    update_expiry(target, limits);
}

void set_former_leases_end(rack_target& target, time_point end,
                           const lease_limits& limits)
{
    target.former_leases_end = end;
    if (target.is_reached)
    {
        update_expiry(target, limits);
    }
}

void update_clock(rack_target& target, std::int64_t clock_ms,
                  const lease_limits& limits, time_point now)
{
    if (clock_ms <= 0)
    {
        return;
    }
    target.clock_ms = clock_ms;
    target.clock_at = now;
    update_expiry(target, limits);
}

} // namespace egretspindle
