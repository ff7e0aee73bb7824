/// \file
/// State of an attempt as its rack owner knows it.

#ifndef EGRETSPINDLE_PROTOCOL_TASK_REPORT_HPP
#define EGRETSPINDLE_PROTOCOL_TASK_REPORT_HPP

#include "egretspindle/adapters/task_state.hpp"

#include <string>

namespace egretspindle
{

/// State of an attempt, and what is certain about it.
struct task_report
{
    task_state task;
    std::string target;
    std::string rack;
    std::string data_center;
    /// Tasks of other requests fail on the target too.
    bool target_suspect = false;
    bool reachable = true;        ///< whether the target answered
    bool certainly_ended = false; ///< neither runs nor can start any more
    bool never_started = false;   ///< certainly never started
};

/// Visits the fields of `task_report` for the codec.
template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const task_report* /*tag*/)
{
    visit("task", value.task);
    visit("target", value.target);
    visit("rack", value.rack);
    visit("data_center", value.data_center);
    visit("target_suspect", value.target_suspect);
    visit("reachable", value.reachable);
    visit("certainly_ended", value.certainly_ended);
    visit("never_started", value.never_started);
}

} // namespace egretspindle

#endif
