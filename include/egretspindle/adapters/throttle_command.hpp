/// \file
/// Command that limits the resources of a task.

#ifndef EGRETSPINDLE_ADAPTERS_THROTTLE_COMMAND_HPP
#define EGRETSPINDLE_ADAPTERS_THROTTLE_COMMAND_HPP

#include <cstdint>
#include <string>

namespace egretspindle
{

/// Limits one attempt to a share of its reservation.
struct throttle_command
{
    std::int64_t epoch = 0;
    std::int64_t term = 0;
    std::string key;
    int attempt = 0;
    double share = 1; ///< from 0 to 1
};

/// Visits the fields of `throttle_command` for the codec.
template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value,
                  const throttle_command* /*tag*/)
{
    visit("epoch", value.epoch);
    visit("term", value.term);
    visit("key", value.key);
    visit("attempt", value.attempt);
    visit("share", value.share);
}

} // namespace egretspindle

#endif
