/// \file
/// Reference to an attempt on a target.

#ifndef EGRETSPINDLE_PROTOCOL_TASK_QUERY_HPP
#define EGRETSPINDLE_PROTOCOL_TASK_QUERY_HPP

#include <cstdint>
#include <string>

namespace egretspindle
{

/// Identifies an attempt of a request on a target, to query, stop or
/// acknowledge it.
struct task_query
{
    std::string key;
    int attempt = 0;
    std::string rack;
    std::string data_center;
    std::string target;
    std::string boot_id;      ///< expected boot id
    bool checkpoint = false;  ///< for a stop: write a checkpoint first
    bool relayed = false;     ///< already forwarded by another host
    std::int64_t wait_ms = 0; ///< how long to wait for the end
};

/// Visits the fields of `task_query` for the codec.
template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const task_query* /*tag*/)
{
    visit("key", value.key);
    visit("attempt", value.attempt);
    visit("rack", value.rack);
    visit("data_center", value.data_center);
    visit("target", value.target);
    visit("boot_id", value.boot_id);
    visit("checkpoint", value.checkpoint);
    visit("relayed", value.relayed);
    visit("wait_ms", value.wait_ms);
}

} // namespace egretspindle

#endif
