/// \file
/// How often hosts tell each other their load, and how much that may take.

#ifndef EGRETSPINDLE_RACK_LOAD_PERIOD_HPP
#define EGRETSPINDLE_RACK_LOAD_PERIOD_HPP

#include "egretspindle/core/clock.hpp"

#include <cstddef>
#include <cstdint>

namespace egretspindle
{

/// Bytes of load messages that a host may receive each second: a tenth of the
/// slowest link of the platform (10 Mbit/s), which also carries the users'
/// calls, the targets' lists and the store.
constexpr std::int64_t load_bytes_in = 125'000;
/// Share of it for what was learned of pairs of images.
constexpr std::int64_t pair_bytes_in = 20'000;
/// Share of it for room. The rest of 5 KB/s covers what `message_bytes` and
/// `target_bytes` leave out.
constexpr std::int64_t room_bytes_in = 100'000;
/// Room reports that a host may receive each second, since each costs a system
/// call, a message code and a decoder run on 0.12 of a core.
constexpr std::int64_t max_reports_in = 80;
/// Bytes of a datagram with its UDP and IP headers; fits into one packet of
/// 1,500 bytes.
constexpr std::size_t largest_datagram = 1'450;
/// Bytes of a datagram beside its targets: headers of UDP and IP, tag, host,
/// life, racks and the names of 15 images.
constexpr std::int64_t message_bytes = 500;
/// Bytes that a target with 4 serving images takes in a report.
constexpr std::int64_t target_bytes = 80;

/// Hosts and targets of the fleet.
struct fleet_size
{
    std::size_t peers = 0; ///< other live hosts
    std::size_t targets = 0;
};

/// Returns the period at which a host reports the room of its racks: 250 ms in
/// small fleets, longer where all hosts together would exceed
/// `max_reports_in` or `room_bytes_in`, and 1 s at most.
[[nodiscard]] milliseconds report_period(const fleet_size& size) noexcept;

/// Returns the period at which a host sends a datagram of learned pairs.
[[nodiscard]] milliseconds pair_period(const fleet_size& size) noexcept;

/// Times of something that is done at a period, in steps of a coarser tick.
struct send_schedule
{
    time_point due_at;
};

/// Returns whether it is due, and if so, moves on to the next time. The mean
/// period is kept although a tick may come late.
[[nodiscard]] bool advance_if_due(send_schedule& schedule, milliseconds period,
                                  time_point now) noexcept;

/// Returns the age from which a rack's report is no longer trusted.
[[nodiscard]] milliseconds report_age(milliseconds period) noexcept;

} // namespace egretspindle

#endif
