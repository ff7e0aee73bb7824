/// \file
/// Choice of the digests that a message carries.

#ifndef EGRETSPINDLE_MEMBERSHIP_DIGEST_SELECTION_HPP
#define EGRETSPINDLE_MEMBERSHIP_DIGEST_SELECTION_HPP

#include "egretspindle/membership/membership_state.hpp"
#include "egretspindle/protocol/ping_message.hpp"

#include <cstddef>
#include <string>
#include <string_view>

namespace egretspindle
{

/// Name of the aggregate rack in digests for other data centres.
inline constexpr std::string_view aggregate_rack_name = "*";

/// Target of a ping that asks for all digests instead of a selection.
inline constexpr std::string_view all_members_target = "*";

/// Returns the digest with its racks summed up into one.
[[nodiscard]] member_digest aggregate_racks(const member_digest& digest);

/// Returns an upper estimate of the bytes a digest takes in a message.
[[nodiscard]] std::size_t wire_size(const member_digest& digest);

/// Selects digests for a receiver within the size limit, and counts them as
/// sent. Carries, in this order: this host; what the receiver has to refute;
/// recent state changes; the digests that waited longest.
[[nodiscard]] ping_message select_digests(membership_state& state,
                                          const std::string& receiver,
                                          const std::string& receiver_center,
                                          time_point now);

/// Selects the digests of all members, for a host that joins.
[[nodiscard]] ping_message select_all(const membership_state& state,
                                      const std::string& receiver_center,
                                      time_point now);

} // namespace egretspindle

#endif
