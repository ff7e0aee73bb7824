/// \file
/// Acknowledgement of a result.

#ifndef EGRETSPINDLE_ADAPTERS_ACK_COMMAND_HPP
#define EGRETSPINDLE_ADAPTERS_ACK_COMMAND_HPP

#include <string>

namespace egretspindle
{

/// Acknowledges the result of an attempt, which the target may then discard.
struct ack_command
{
    std::string key;
    int attempt = 0;
};

/// Visits the fields of `ack_command` for the codec.
template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const ack_command* /*tag*/)
{
    visit("key", value.key);
    visit("attempt", value.attempt);
}

} // namespace egretspindle

#endif
