/// \file
/// Queries of the membership state.

#ifndef EGRETSPINDLE_MEMBERSHIP_MEMBERSHIP_VIEW_HPP
#define EGRETSPINDLE_MEMBERSHIP_MEMBERSHIP_VIEW_HPP

#include "egretspindle/membership/membership_state.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace egretspindle
{

/// Returns whether an update of any host of a data centre arrived recently;
/// always true for this host's own data centre.
[[nodiscard]] bool is_reachable(const membership_state& state,
                                const std::string& data_center, time_point now);

/// Returns the digest of a member as the other packages see it.
///
/// A member of another data centre has the state `suspect` while no updates of
/// it arrive, since only its own data centre can declare it dead.
[[nodiscard]] member_digest effective_digest(const membership_state& state,
                                             const member_record& record,
                                             time_point now);

/// Returns the digests of all members, this host included, sorted by name.
[[nodiscard]] std::vector<member_digest>
all_digests(const membership_state& state, time_point now);

/// Returns the sorted names of the hosts of a data centre that can receive
/// work.
///
/// A suspect member of this host's own data centre is included, so that a
/// suspicion alone does not move work; a suspect member of another data centre
/// is not.
[[nodiscard]] std::vector<std::string>
live_host_names(const membership_state& state, std::string_view data_center,
                time_point now);

/// Returns `ip:port` of a member, or an empty string if it is not known.
[[nodiscard]] std::string address_of(const membership_state& state,
                                     const std::string& name);

} // namespace egretspindle

#endif
