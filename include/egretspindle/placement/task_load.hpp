/// \file
/// A task as the owner of its rack sees it.

#ifndef EGRETSPINDLE_PLACEMENT_TASK_LOAD_HPP
#define EGRETSPINDLE_PLACEMENT_TASK_LOAD_HPP

#include "egretspindle/core/clock.hpp"
#include "egretspindle/core/resources.hpp"

#include <string>

namespace egretspindle
{

/// Reservation and last measurement of one running attempt.
struct task_load
{
    std::string key;
    int attempt = 0;
    std::string kind;
    std::string team;
    bool urgent = false;
    resources reserve;           ///< held from the decision to the end
    bool measured = false;       ///< whether `used` holds a measurement
    resources used;              ///< last reported use, up to 3 s old
    time_point started;          ///< when the start was sent
    time_point expected_end;     ///< predicted at the decision
    bool checkpointable = false; ///< may be evicted
    bool stopping = false;       ///< stop sent, not confirmed yet
    double share = 1;            ///< processor share; 1 if not throttled
};

} // namespace egretspindle

#endif
