/// \file
/// Selection of the member digests that a message carries.

#ifndef EGRETSPINDLE_MEMBERSHIP_DIGEST_SELECTION_HPP
#define EGRETSPINDLE_MEMBERSHIP_DIGEST_SELECTION_HPP

#include "egretspindle/membership/membership_state.hpp"
#include "egretspindle/protocol/ping_message.hpp"

#include <cstddef>
#include <string>
#include <string_view>

namespace egretspindle
{

/// Rack name under which digests for other data centres carry the totals of
/// all racks of a host.
inline constexpr std::string_view aggregate_rack_name = "*";

/// Value of `ping_message::target` that requests the digests of all members
/// instead of a selection.
inline constexpr std::string_view all_members_target = "*";

/// Returns the digest with its racks replaced by one that holds their totals.
[[nodiscard]] member_digest aggregate_racks(const member_digest& digest);

/// Returns an upper bound for the bytes that a digest takes in a message.
[[nodiscard]] std::size_t wire_size(const member_digest& digest);

/// Selects digests for a receiver up to `max_message_bytes` and marks them as
/// sent. The order is: this host; the receiver itself if this host does not
/// consider it alive, so that it can refute this; recent state changes; the
/// digests with unsent content, least recently sent first.
[[nodiscard]] ping_message select_digests(membership_state& state,
                                          const std::string& receiver,
                                          const std::string& receiver_center,
                                          time_point now);

/// Returns the digests of all members, for a host that joins or requests the
/// full list. Members of other data centres without recent updates are left
/// out unless they are dead or leaving.
[[nodiscard]] ping_message
select_all_digests(const membership_state& state,
                   const std::string& receiver_center, time_point now);

} // namespace egretspindle

#endif
