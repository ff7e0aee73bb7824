/// \file
/// Faults of the stand-in target.

#ifndef EGRETSPINDLE_TOOLS_STANDIN_TARGET_TARGET_FAULTS_HPP
#define EGRETSPINDLE_TOOLS_STANDIN_TARGET_TARGET_FAULTS_HPP

namespace egretspindle::standin
{

/// Faults that `POST /control` sets; absent fields stay as they are.
struct target_faults
{
    bool fail_all = false; ///< every task that starts fails
    double speed = 1;      ///< factor on the progress of all tasks
};

/// Visits the fields of `target_faults` for the codec.
template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const target_faults* /*tag*/)
{
    visit("fail_all", value.fail_all);
    visit("speed", value.speed);
}

} // namespace egretspindle::standin

#endif
