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
    /// When the phase last changed or a lease renewal last confirmed that the
    /// attempt runs.
    time_point changed;
    /// When the target was chosen, or when a new rack owner found the attempt.
    time_point placed;
    /// The target refuses a start that arrives later; in ms on its clock.
    std::int64_t start_before_ms = 0;
    std::string coordinator_data_center;
    bool is_resumed = false;  ///< started from a checkpoint
    bool is_lost = false;     ///< ended without a result
    bool is_stopping = false; ///< an eviction was sent
    bool is_watched = false;
    bool is_reporting = false; ///< a report of the end is being sent
    time_point next_report;    ///< when to report the end next
};

} // namespace egretspindle

#endif
