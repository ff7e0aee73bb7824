/// \file
/// Merging of received digests and expiry of suspicions.

#ifndef EGRETSPINDLE_MEMBERSHIP_MEMBERSHIP_UPDATE_HPP
#define EGRETSPINDLE_MEMBERSHIP_MEMBERSHIP_UPDATE_HPP

#include "egretspindle/membership/membership_state.hpp"
#include "egretspindle/protocol/ping_message.hpp"

namespace egretspindle
{

/// Replaces what this host tells about itself. Identity, incarnation and
/// state stay those of the membership; the sequence rises.
void update_self(membership_state& state, const member_digest& described);

/// Merges one digest by incarnation, state and sequence.
void merge_digest(membership_state& state, const member_digest& digest,
                  time_point now);

/// Merges all digests of a message.
void merge_message(membership_state& state, const ping_message& message,
                   time_point now);

/// Suspects a member of this data centre, when it still has the incarnation.
void suspect_member(membership_state& state, const std::string& name,
                    std::int64_t incarnation, time_point now);

/// Declares the suspects of this data centre dead whose time is over, and
/// forgets members without news.
void expire_members(membership_state& state, time_point now);

/// Raises the incarnation after this host did not run for a while.
void resume(membership_state& state, time_point now);

/// Enters the state `leaving`.
void start_leaving(membership_state& state, time_point now);

} // namespace egretspindle

#endif
