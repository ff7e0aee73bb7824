/// \file
/// Decisions on acquiring, keeping and giving up racks.

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

/// Applies a new host list; an empty list is ignored.
void update_hosts(ownership_state& state, absl::Span<const host_entry> hosts,
                  time_point now);

/// Applies the members of this data centre and the names of the live ones.
void update_members(ownership_state& state,
                    absl::Span<const member_digest> members,
                    std::vector<std::string> live);

/// Returns the owner of a rack as far as this host knows: the one with the
/// highest epoch among the owner row and the digests of the members. At equal
/// epochs a live member takes precedence over the row.
[[nodiscard]] std::optional<rack_owner>
known_owner(const ownership_state& state, const rack_id& id);

/// Returns the host that rendezvous hashing selects among `candidates`, or an
/// empty string if there are none.
[[nodiscard]] std::string
preferred_host(const rack_id& id, absl::Span<const std::string> candidates);

/// Returns the calls that are due. Suspends the ownership of all racks when
/// `resume_gap` has passed since the last decision.
[[nodiscard]] std::vector<ownership_action> decide(ownership_state& state,
                                                   time_point now);

/// Returns whether an entry host has been absent from the host list for longer
/// than `absence_timeout`, that is one lease. False while this host itself is
/// not listed, since the absence of others is not conclusive then.
[[nodiscard]] bool has_left_host_list(const ownership_state& state,
                                      const std::string& host, time_point now);

/// Records that an earlier owner of an owned rack stopped renewing.
void confirm_release(ownership_state& state, rack_record& record,
                     const std::string& host, time_point now);

/// Ends the ownership of a rack and queues a `lost` event, if it is owned.
///
/// \param reason  for the log
void drop_ownership(ownership_state& state, const rack_id& id,
                    std::string_view reason);

} // namespace egretspindle

#endif
