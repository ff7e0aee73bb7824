/// \file
/// Order to a simulated target.

#ifndef EGRETSPINDLE_TOOLS_STANDIN_PLATFORM_MACHINE_ORDER_HPP
#define EGRETSPINDLE_TOOLS_STANDIN_PLATFORM_MACHINE_ORDER_HPP

#include <cstdint>
#include <string>

namespace egretspindle::standin
{

/// Start, stop or poll. Fields that an order does not have keep their values.
struct machine_order
{
    std::string task;
    std::int64_t run = 0;
    std::string spec;
    std::int64_t lease_until_ms = 0; ///< on the target's clock; 0: no renewal
    std::int64_t token = 0;
    std::int64_t acknowledged = 0; ///< ends up to this number are forgotten
    std::int64_t wait_ms = 0;      ///< for an end
};

/// Visits the fields of `machine_order` for the codec.
template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const machine_order* /*tag*/)
{
    visit("task", value.task);
    visit("run", value.run);
    visit("spec", value.spec);
    visit("deadlineMs", value.lease_until_ms);
    visit("fencingToken", value.token);
    visit("ackCursor", value.acknowledged);
    visit("waitMs", value.wait_ms);
}

} // namespace egretspindle::standin

#endif
