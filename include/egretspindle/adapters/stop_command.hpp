/// \file
/// Command that stops a task.

#ifndef EGRETSPINDLE_ADAPTERS_STOP_COMMAND_HPP
#define EGRETSPINDLE_ADAPTERS_STOP_COMMAND_HPP

#include <cstdint>
#include <string>

namespace egretspindle
{

/// Stops one attempt. For an unknown attempt the target keeps a tombstone,
/// which prevents a later start.
struct stop_command
{
    std::int64_t epoch = 0;
    std::int64_t term = 0;
    std::string key;
    int attempt = 0;
    bool checkpoint = false; ///< write a checkpoint first
};

/// Visits the fields of `stop_command` for the codec.
template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const stop_command* /*tag*/)
{
    visit("epoch", value.epoch);
    visit("term", value.term);
    visit("key", value.key);
    visit("attempt", value.attempt);
    visit("checkpoint", value.checkpoint);
}

} // namespace egretspindle

#endif
