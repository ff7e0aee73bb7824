/// \file
/// Scheduling of probes and handling of their results.

#ifndef EGRETSPINDLE_MEMBERSHIP_PROBE_SCHEDULE_HPP
#define EGRETSPINDLE_MEMBERSHIP_PROBE_SCHEDULE_HPP

#include "egretspindle/membership/membership_state.hpp"
#include "egretspindle/membership/probe_action.hpp"

#include <string>
#include <vector>

namespace egretspindle
{

/// Advances the state to `now` and returns the messages that are due.
[[nodiscard]] std::vector<probe_action> advance(membership_state& state,
                                                time_point now);

/// Handles the reply to an action: merges its digests and, for an indirect
/// probe, discards the outstanding probes of the same member.
void handle_probe_reply(membership_state& state, const probe_action& action,
                        const ping_message& reply, time_point now);

/// Handles an action that got no reply. The probed member becomes suspect when
/// its last indirect probe has failed, or at once if no helper is available.
///
/// \returns the indirect probes that follow a failed direct one
[[nodiscard]] std::vector<probe_action>
handle_probe_failure(membership_state& state, const probe_action& action,
                     time_point now);

/// Merges a received ping and returns the reply.
[[nodiscard]] ping_message answer_ping(membership_state& state,
                                       const std::string& sender,
                                       const ping_message& message,
                                       time_point now);

/// Returns the probe to send for a received ping request. Its address is empty
/// if the target is not known.
[[nodiscard]] probe_action make_relayed_probe(membership_state& state,
                                              const ping_message& message,
                                              time_point now);

/// Returns messages with the latest changes to up to `count` random members of
/// this data centre and to one member of another.
[[nodiscard]] std::vector<probe_action>
announce_changes(membership_state& state, std::size_t count, time_point now);

} // namespace egretspindle

#endif
