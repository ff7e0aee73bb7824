/// \file
/// Heartbeat.

#ifndef EGRETSPINDLE_PROTOCOL_PING_MESSAGE_HPP
#define EGRETSPINDLE_PROTOCOL_PING_MESSAGE_HPP

#include "egretspindle/protocol/member_digest.hpp"

#include <string>
#include <vector>

namespace egretspindle
{

/// Probe of a member, with news about other members. The reply has the same
/// type.
struct ping_message
{
    /// Member that the receiver probes, for an indirect probe.
    std::string target;
    std::vector<member_digest> members;
};

/// Visits the fields of `ping_message` for the codec.
template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const ping_message* /*tag*/)
{
    visit("target", value.target);
    visit("members", value.members);
}

} // namespace egretspindle

#endif
