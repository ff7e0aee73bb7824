/// \file
/// Decisions on which racks to take, keep and lose.

#ifndef EGRETSPINDLE_OWNERSHIP_OWNERSHIP_DECISION_HPP
#define EGRETSPINDLE_OWNERSHIP_OWNERSHIP_DECISION_HPP

#include "egretspindle/adapters/host_entry.hpp"
#include "egretspindle/ownership/ownership_action.hpp"
#include "egretspindle/ownership/ownership_state.hpp"
#include "egretspindle/ownership/rack_owner.hpp"

#include <absl/types/span.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace egretspindle
{

/// Takes over the host list; an empty list changes nothing.
void update_hosts(ownership_state& state, absl::Span<const host_entry> hosts,
                  time_point now);

/// Takes over the members of this data centre and the live ones among them.
void update_members(ownership_state& state,
                    absl::Span<const member_digest> members,
                    std::vector<std::string> live);

/// Returns the owner of a rack: the highest epoch among the digests of the
/// members and the row; a digest of a live host wins over the row.
[[nodiscard]] std::optional<rack_owner>
believed_owner(const ownership_state& state, const rack_id& id);

/// Returns the host that rendezvous hashing selects among `candidates`, or an
/// empty string.
[[nodiscard]] std::string
preferred_host(const rack_id& id, absl::Span<const std::string> candidates);

/// Returns the calls that are due. Loses all racks after a gap in time.
[[nodiscard]] std::vector<ownership_action> decide(ownership_state& state,
                                                   time_point now);

/// Returns whether an entry host left the host list for longer than a lease.
/// Unknown, hence false, while the list does not hold this host either.
[[nodiscard]] bool has_left(const ownership_state& state,
                            const std::string& host, time_point now);

/// Notes that an earlier owner of an owned rack stopped renewing.
void confirm_release(ownership_state& state, rack_record& record,
                     const std::string& host, time_point now);

/// Reports a rack as lost, if it is owned.
void lose(ownership_state& state, const rack_id& id, std::string_view reason);

} // namespace egretspindle

#endif
