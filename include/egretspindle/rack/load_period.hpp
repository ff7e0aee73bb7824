/// \file
/// Periods and bandwidth limits of load messages.

#ifndef EGRETSPINDLE_RACK_LOAD_PERIOD_HPP
#define EGRETSPINDLE_RACK_LOAD_PERIOD_HPP

#include "egretspindle/core/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace egretspindle
{

/// Bytes of load messages that a host may receive per second: a tenth of the
/// slowest link of the platform (10 Mbit/s), which also carries calls of users,
/// the lists of targets and the traffic of the store.
constexpr std::int64_t max_load_bytes_per_s = 125'000;
/// Part of `max_load_bytes_per_s` for learned pairs of images.
constexpr std::int64_t max_pair_bytes_per_s = 20'000;
/// Part of `max_load_bytes_per_s` for load reports. The remaining 5 KB/s cover
/// what `message_bytes` and `target_bytes` leave out.
constexpr std::int64_t max_report_bytes_per_s = 100'000;
/// Datagrams with load reports that a host may receive per second. Each costs a
/// system call, a message authentication code and decoding, and the
/// smallest hosts have 0.12 of a core.
constexpr std::int64_t max_report_messages_per_s = 80;
/// Largest datagram in bytes, with its UDP and IP headers. Fits into one packet
/// of 1,500 bytes.
constexpr std::size_t max_datagram_bytes = 1'450;
/// Estimated bytes of a datagram without its targets: UDP and IP headers, tag,
/// host, boot id, racks and the names of 15 images.
constexpr std::int64_t message_bytes = 500;
/// Estimated bytes of a target with 4 serving images in a report.
constexpr std::int64_t target_bytes = 80;

/// Number of hosts and targets in the fleet.
struct fleet_size
{
    std::size_t peers = 0; ///< other live hosts
    std::size_t targets = 0;
};

/// Returns the period at which each host gets the load of the racks of a host:
/// 250 ms in small fleets, longer where all hosts together would exceed
/// `max_report_messages_per_s` or `max_report_bytes_per_s`, and at most 1 s.
[[nodiscard]] milliseconds report_period(const fleet_size& size) noexcept;

/// Returns the period at which a host sends a datagram of learned pairs: 2 s,
/// longer where all hosts together would exceed `max_pair_bytes_per_s`.
[[nodiscard]] milliseconds pair_period(const fleet_size& size) noexcept;

/// Schedule of a periodic action; see `advance_if_due`.
struct send_schedule
{
    time_point due_at; ///< next time of the action
};

/// Returns whether the action is due, and if so, schedules the next one. Called
/// at each tick of the scheduler. Keeps the mean period if ticks are late by
/// less than a period.
[[nodiscard]] bool advance_if_due(send_schedule& schedule, milliseconds period,
                                  time_point now) noexcept;

/// Turns in which the other hosts get load reports; see `take_due_peers`.
struct peer_turns
{
    time_point taken_at; ///< of the latest call
    /// Address of the peer that had the latest turn.
    std::string last;
    double remainder = 0; ///< part of a turn that was due and not taken
};

/// Returns the peers whose turn it is now: each one has a turn in a period, and
/// they follow each other in the order of the list. The first call returns all
/// of them. Turns that a late call missed are not made up for.
///
/// \param peers  addresses of the other hosts, each once
/// \param period  see `report_period`
[[nodiscard]] std::vector<std::string>
take_due_peers(peer_turns& turns, const std::vector<std::string>& peers,
               milliseconds period, time_point now);

/// Returns the age, since its measurement, above which a load report is no
/// longer used: 5 report periods (`max_missed_reports`), at least 3 s.
///
/// \param period  see `report_period`
[[nodiscard]] milliseconds report_age(milliseconds period) noexcept;

} // namespace egretspindle

#endif
