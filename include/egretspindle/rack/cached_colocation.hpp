/// \file
/// Cached co-location summary of a target with the inputs it was computed from.

#ifndef EGRETSPINDLE_RACK_CACHED_COLOCATION_HPP
#define EGRETSPINDLE_RACK_CACHED_COLOCATION_HPP

#include "egretspindle/fleet/target_entry.hpp"
#include "egretspindle/rack/colocation_summary.hpp"
#include "egretspindle/rack/interference_model.hpp"
#include "egretspindle/rack/queued_start.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace egretspindle
{

/// Inputs of a target's co-location summary that come from one run.
struct colocation_run_inputs
{
    std::shared_ptr<const step_terms> terms;
    double headroom = 0; ///< `predicted_headroom`; serving tasks only
    /// `used_milli()` in thousandths of a core; all other tasks.
    std::int64_t used_milli = 0;
    /// Speed limit in percent of full speed; backfill tasks only.
    std::int64_t percent = 0;
};

/// Inputs of the co-location summaries of a rack that come from the
/// interference model.
struct colocation_model_inputs
{
    std::uint64_t number = 0;  ///< increases with each change; 0: not set yet
    std::uint64_t version = 0; ///< `interference_model::version`
    std::map<std::string, double> reserved_shares;
};

/// Co-location summary and free capacity of a target, with all inputs that
/// they were computed from.
///
/// Avoids computing the summaries of a whole rack for each poll reply: the
/// owner of a rack decides after each reply, and at most the target that
/// replied has changed by then.
struct cached_colocation
{
    colocation_summary colocation;
    task_size room;          ///< capacity that no task has reserved
    task_size eventual_room; ///< see `eventual_capacity`
    bool is_open = false;    ///< see `accepts_starts`
    /// Value of `rack_state::colocation_changes` at the latest change after
    /// which the target may be able to take a start that did not fit before.
    std::uint64_t last_change = 0;
    std::uint64_t model_inputs = 0; ///< `colocation_model_inputs::number`
    std::vector<colocation_run_inputs> runs;
    task_size capacity;
    std::string service;
    std::vector<std::string> labels;
};

} // namespace egretspindle

#endif
