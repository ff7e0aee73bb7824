/// \file
/// Reply of a rack owner to a place request.

#ifndef EGRETSPINDLE_PROTOCOL_PLACE_REPLY_HPP
#define EGRETSPINDLE_PROTOCOL_PLACE_REPLY_HPP

#include "egretspindle/adapters/task_state.hpp"

#include <cstdint>
#include <string>

namespace egretspindle
{

/// Whether an attempt was placed, and its state so far.
struct place_reply
{
    bool placed = false;
    /// An attempt that is not placed may have started all the same.
    bool may_have_started = false;
    bool superseded = false; ///< another coordinator has taken over
    /// The rack is between two owners; a retry may succeed soon.
    bool owner_changing = false;
    std::string reason; ///< why the attempt was not placed
    std::int64_t retry_after_ms = 0;
    std::string target;
    std::string rack;
    std::string data_center;
    std::string boot_id;
    std::int64_t epoch = 0;
    task_state task;
};

/// Visits the fields of `place_reply` for the codec.
template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const place_reply* /*tag*/)
{
    visit("placed", value.placed);
    visit("may_have_started", value.may_have_started);
    visit("superseded", value.superseded);
    visit("owner_changing", value.owner_changing);
    visit("reason", value.reason);
    visit("retry_after_ms", value.retry_after_ms);
    visit("target", value.target);
    visit("rack", value.rack);
    visit("data_center", value.data_center);
    visit("boot_id", value.boot_id);
    visit("epoch", value.epoch);
    visit("task", value.task);
}

} // namespace egretspindle

#endif
