/// \file
/// Targets as the owners of jobs and of other racks judge them by reports.

#ifndef EGRETSPINDLE_SRC_RACK_CANDIDATE_HPP
#define EGRETSPINDLE_SRC_RACK_CANDIDATE_HPP

#include "egretspindle/rack/fleet_load.hpp"
#include "egretspindle/rack/interference.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace egretspindle
{

/// Room of one target, less what this host has placed since its report.
struct candidate
{
    const target_entry* entry = nullptr;
    task_size room;
    target_mix mix;
    std::int64_t taken_by_step = 0;
};

/// Placements that no report shows yet, computed once for all candidates.
struct recent_index
{
    std::map<std::string_view, std::vector<const recent_placement*>> by_target;
    std::map<std::string_view, std::int64_t> cpu_by_rack;
};

/// Returns whether the report of a rack is trusted.
[[nodiscard]] bool is_recent(const fleet_load& fleet, const rack_view& view,
                             time_point now);

/// Returns whether a report of its rack can show a placement.
[[nodiscard]] bool is_shown(const fleet_load& fleet,
                            const recent_placement& item, time_point now);

/// Sorts the placements that no report shows yet.
[[nodiscard]] recent_index index_recent(const fleet_load& fleet,
                                        time_point now);

/// Returns whether the tasks of a step may run on a target at all.
[[nodiscard]] bool matches(const target_entry& entry, const step_terms& terms);

/// Returns a target that a report names.
[[nodiscard]] candidate make_candidate(const fleet_load& fleet,
                                       const recent_index& recent,
                                       const target_room& room,
                                       const target_entry& entry);

/// Returns whether a target has room for a task, by the same measure as the
/// owner of its rack uses.
[[nodiscard]] bool is_suitable(const pressure_model& model,
                               const candidate& item, const step_terms& terms);

/// Rates a target; more is better.
[[nodiscard]] std::int64_t weight_of(const pressure_model& model,
                                     const candidate& item,
                                     const step_terms& terms);

/// Returns the best suitable target; null: none.
[[nodiscard]] candidate* best_of(const pressure_model& model,
                                 std::vector<candidate>& items,
                                 const step_terms& terms);

/// Takes the room of one task.
void take_room(const pressure_model& model, candidate& item,
               const step_terms& terms);

} // namespace egretspindle

#endif
