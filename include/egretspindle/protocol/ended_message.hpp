/// \file
/// End of an attempt, reported to the coordinator.

#ifndef EGRETSPINDLE_PROTOCOL_ENDED_MESSAGE_HPP
#define EGRETSPINDLE_PROTOCOL_ENDED_MESSAGE_HPP

#include "egretspindle/protocol/task_report.hpp"

namespace egretspindle
{

/// Reports that an attempt has ended. The receiver replies OK once it has
/// recorded the end.
struct ended_message
{
    task_report report;
    int hops = 0; ///< how many hosts have forwarded it
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
