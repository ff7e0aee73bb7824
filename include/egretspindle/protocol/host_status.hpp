/// \file
/// Status of a host for operators.

#ifndef EGRETSPINDLE_PROTOCOL_HOST_STATUS_HPP
#define EGRETSPINDLE_PROTOCOL_HOST_STATUS_HPP

#include "egretspindle/protocol/member_digest.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace egretspindle
{

/// Status that a host reports about itself.
struct host_status
{
    member_digest self;
    std::vector<member_digest> members;
    int open_requests = 0;
    int queued_batch = 0;
    bool ready = false;
    bool store_reachable = false;
    std::int64_t plan_version = 0;
    std::string plan_digest;
};

/// Visits the fields of `host_status` for the codec.
template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const host_status* /*tag*/)
{
    visit("self", value.self);
    visit("members", value.members);
    visit("open_requests", value.open_requests);
    visit("queued_batch", value.queued_batch);
    visit("ready", value.ready);
    visit("store_reachable", value.store_reachable);
    visit("plan_version", value.plan_version);
    visit("plan_digest", value.plan_digest);
}

} // namespace egretspindle

#endif
