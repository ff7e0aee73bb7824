/// \file
/// Attempt on a target of an owned rack.

#ifndef EGRETSPINDLE_REQUEST_PATH_OWNED_TASK_HPP
#define EGRETSPINDLE_REQUEST_PATH_OWNED_TASK_HPP

#include "egretspindle/adapters/task_state.hpp"
#include "egretspindle/core/clock.hpp"

#include <cstdint>
#include <string>

namespace egretspindle
{

/// Phase of an attempt as known to its rack owner.
enum class task_phase
{
    reserved,  ///< capacity reserved, start not sent
    starting,  ///< start sent, no response yet
    uncertain, ///< the response to the start was lost
    running,   ///< confirmed by the target
    ended,     ///< finished, stopped or lost
};

/// Attempt that the owner placed or found on a target.
struct owned_task
{
    std::string key;
    int attempt = 0;
    std::string target;
    std::string boot_id;
    std::string team;
    std::string kind;
    bool urgent = false;
    task_phase phase = task_phase::reserved;
    time_point changed;               ///< when the phase last changed
    time_point placed;                ///< when the target was chosen
    std::int64_t start_before_ms = 0; ///< latest start on the target's clock
    std::string coordinator_data_center;
    bool is_resumed = false;  ///< started from a checkpoint
    bool is_lost = false;     ///< ended without a result
    bool is_stopping = false; ///< a stop was sent
    bool is_watched = false;
    bool is_reporting = false;
    time_point next_report; ///< when to report the end next
};

} // namespace egretspindle

#endif
