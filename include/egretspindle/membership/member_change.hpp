/// \file
/// Change of a member's state.

#ifndef EGRETSPINDLE_MEMBERSHIP_MEMBER_CHANGE_HPP
#define EGRETSPINDLE_MEMBERSHIP_MEMBER_CHANGE_HPP

#include <cstdint>
#include <string>

namespace egretspindle
{

/// Change of a member. `state` is the member state that was entered, or `plan`
/// if the member announced a plan version that is new to this host. For this
/// host itself, `state` can also be `resumed` after the process did not run
/// for a while, or `refuted` when it corrected a report that it is suspect or
/// dead.
struct member_change
{
    std::string name;
    std::string data_center;
    std::string state;
    std::int64_t incarnation = 0;
};

} // namespace egretspindle

#endif
