/// \file
/// End of an attempt, reported to the coordinator.

#ifndef EGRETSPINDLE_PROTOCOL_ENDED_MESSAGE_HPP
#define EGRETSPINDLE_PROTOCOL_ENDED_MESSAGE_HPP

#include "egretspindle/protocol/task_report.hpp"

namespace egretspindle
{

/// Report on an attempt that has ended. The reply is OK once the end is
/// recorded.
struct ended_message
{
    task_report report;
    int hops = 0; ///< hosts that passed it on
};

/// Visits the fields of `ended_message` for the codec.
template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const ended_message* /*tag*/)
{
    visit("report", value.report);
    visit("hops", value.hops);
}

} // namespace egretspindle

#endif
