/// \file
/// Change of a member's state.

#ifndef EGRETSPINDLE_MEMBERSHIP_MEMBER_CHANGE_HPP
#define EGRETSPINDLE_MEMBERSHIP_MEMBER_CHANGE_HPP

#include <cstdint>
#include <string>

namespace egretspindle
{

/// A member entered a state, or told of a plan version that is new to this
/// host (`plan`). For this host itself, `state` is `resumed` after
/// a gap in its own time, or `refuted` when it denied its suspicion or death.
struct member_change
{
    std::string name;
    std::string data_center;
    std::string state;
    std::int64_t incarnation = 0;
};

} // namespace egretspindle

#endif
