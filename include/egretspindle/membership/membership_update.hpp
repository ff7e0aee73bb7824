/// \file
/// Merging of received digests and expiry of suspicions.

#ifndef EGRETSPINDLE_MEMBERSHIP_MEMBERSHIP_UPDATE_HPP
#define EGRETSPINDLE_MEMBERSHIP_MEMBERSHIP_UPDATE_HPP

#include "egretspindle/membership/membership_state.hpp"
#include "egretspindle/protocol/ping_message.hpp"

namespace egretspindle
{

/// Replaces the plan version and racks in the digest of this host and
/// increments its sequence. Identity, incarnation and state do not change.
void update_self(membership_state& state, const member_digest& described);

/// Merges one digest: a higher incarnation replaces a lower one; within an
/// incarnation, the later state and the content with the higher sequence win.
/// A digest that calls this host suspect or dead makes it refute this with a
/// higher incarnation.
void merge_digest(membership_state& state, const member_digest& digest,
                  time_point now);

/// Merges all digests of a message.
void merge_message(membership_state& state, const ping_message& message,
                   time_point now);

/// Marks a member as suspect if it belongs to this data centre, is alive and
/// still has the given incarnation.
void suspect_member(membership_state& state, const std::string& name,
                    std::int64_t incarnation, time_point now);

/// Declares the members of this data centre dead whose suspicion time has
/// expired, and removes members after `dead_retention`.
void expire_members(membership_state& state, time_point now);

/// Raises the incarnation after this host did not run for a while, restarts
/// all suspicion times and discards outstanding indirect probes.
void resume_after_pause(membership_state& state, time_point now);

/// Sets the state of this host to `leaving`.
void start_leaving(membership_state& state, time_point now);

} // namespace egretspindle

#endif
