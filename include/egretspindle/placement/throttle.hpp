/// \file
/// Change of a task's processor share.

#ifndef EGRETSPINDLE_PLACEMENT_THROTTLE_HPP
#define EGRETSPINDLE_PLACEMENT_THROTTLE_HPP

#include <string>

namespace egretspindle
{

/// Limits one attempt to a share of its reservation.
struct throttle
{
    std::string target;
    std::string key;
    int attempt = 0;
    double share = 1; ///< 1 ends the throttling
};

} // namespace egretspindle

#endif
