/// \file
/// Row that drains or resumes a target.

#ifndef EGRETSPINDLE_PLAN_DRAINED_TARGET_HPP
#define EGRETSPINDLE_PLAN_DRAINED_TARGET_HPP

#include <cstdint>
#include <string>

namespace egretspindle
{

/// Whether a target is drained. A drained target receives no new work until it
/// is resumed.
struct drained_target
{
    std::string target;
    bool drained = false;
    std::string changed_by;
    std::int64_t changed_unix_ms = 0;
};

/// Visits the fields of `drained_target` for the codec.
template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const drained_target* /*tag*/)
{
    visit("target", value.target);
    visit("drained", value.drained);
    visit("changed_by", value.changed_by);
    visit("changed_unix_ms", value.changed_unix_ms);
}

} // namespace egretspindle

#endif
