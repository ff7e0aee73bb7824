/// \file
/// State of a member.

#ifndef EGRETSPINDLE_PROTOCOL_MEMBER_DIGEST_HPP
#define EGRETSPINDLE_PROTOCOL_MEMBER_DIGEST_HPP

#include "egretspindle/protocol/rack_summary.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace egretspindle
{

/// State of one host, as the members of the cluster exchange it.
struct member_digest
{
    std::string name;
    std::string address; ///< `ip:port` of its RPC server
    std::string data_center;
    std::int64_t incarnation = 0;
    std::string state = "alive"; ///< `alive`, `suspect`, `dead`, `leaving`
    std::int64_t sequence = 0;   ///< heartbeat sequence of the incarnation
    std::int64_t plan_version = 0;
    std::vector<rack_summary> racks; ///< racks that the host owns
};

/// Visits the fields of `member_digest` for the codec.
template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const member_digest* /*tag*/)
{
    visit("name", value.name);
    visit("address", value.address);
    visit("data_center", value.data_center);
    visit("incarnation", value.incarnation);
    visit("state", value.state);
    visit("sequence", value.sequence);
    visit("plan_version", value.plan_version);
    visit("racks", value.racks);
}

} // namespace egretspindle

#endif
