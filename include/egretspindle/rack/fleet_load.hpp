/// \file
/// Free capacity of the fleet as the owners of racks report it.

#ifndef EGRETSPINDLE_RACK_FLEET_LOAD_HPP
#define EGRETSPINDLE_RACK_FLEET_LOAD_HPP

#include "egretspindle/core/clock.hpp"
#include "egretspindle/fleet/target_entry.hpp"
#include "egretspindle/rack/interference_model.hpp"
#include "egretspindle/rack/load_period.hpp"
#include "egretspindle/rack/queued_start.hpp"
#include "egretspindle/rack/rack_load_report.hpp"

#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace egretspindle
{

/// Placement of this host that no report shows yet.
struct recent_placement
{
    std::string rack;
    std::string target;
    task_size size;
    std::int64_t idle_users_milli = 0;
    image_name image; ///< of a task on idle processors
    time_point at;
};

/// Rack as seen by the owners of jobs.
struct rack_view
{
    rack_load_report room;
    time_point reported_at;
};

/// Fleet as seen by the owners of jobs.
struct fleet_load
{
    std::map<std::string, rack_view> racks;
    std::map<std::string, target_entry> targets; ///< by id
    std::vector<recent_placement> recent;
    /// What is known of pairs of images; only the merged part is used.
    interference_model interference;
    milliseconds period{250}; ///< of the reports; see `report_period`
    std::size_t hosts = 1;    ///< live ones, which see the same reports
    std::map<std::string, std::int64_t> host_boots; ///< of the other hosts
};

/// Notes the life that a message of another host names.
///
/// \returns whether it was not known, so that the host has heard of nothing
bool update_host_boot(fleet_load& fleet, const std::string& host,
                      std::int64_t boot);

/// Takes over a report. `rooms` then holds the replaced rooms, so that the
/// caller can free them without a lock.
void apply_load_reports(fleet_load& fleet, std::vector<rack_load_report>& rooms,
                        time_point now);

/// Returns, for each image whose starts wait for idle processors, the share of
/// the targets where it harms nobody that has to be kept for it: one target for
/// each start.
///
/// Answers a large fleet in which some start always waits. When one start kept
/// all targets that suit it, 9 of 10 queued starts of the grown cooperative
/// waited for targets that stayed idle.
[[nodiscard]] std::map<std::string, double>
reserved_shares(const fleet_load& fleet, time_point now);

/// Chooses a rack for each of `count` tasks of a step.
///
/// Answers a step that becomes due while the fleet is partly free: as many
/// tasks as fit go to a rack with room, chosen at random by its free
/// processors, so that hosts with the same reports do not all choose the same
/// one. A host counts only on a share of the room that all see. The other
/// tasks go, a few together, to the less loaded of two random racks, where
/// queued work counts less free processors. Remembers the choice in `recent`.
///
/// \param data_rack  rack where the data is; empty: anywhere
/// \returns a rack for each task; empty text when no target can ever take it
[[nodiscard]] std::vector<std::string>
choose_racks(fleet_load& fleet, const step_terms& terms, std::size_t count,
             const std::string& data_rack, time_point now,
             std::minstd_rand& random);

/// Returns whether tasks that last may take processors of a service.
///
/// Answers the load of more lasting tasks than the fleet can carry: they would
/// hold all room for minutes, and short tasks of the same priority would find
/// none. A share of the capacity is kept for those. Without recent reports of
/// most of the fleet the answer is yes.
///
/// \param cpu_milli  wanted by all tasks of a step together
[[nodiscard]] bool has_room_for_long_running(const fleet_load& fleet,
                                             const std::string& service,
                                             std::int64_t cpu_milli,
                                             time_point now);

/// Returns how many starts of a kind a rack may hand back: its part, by its
/// queue, of the places that other racks have for them, since the owners of all
/// racks see the same places. Rounded at random, so that small parts count; at
/// least one for tasks that last.
[[nodiscard]] std::size_t hand_back_quota(const fleet_load& fleet,
                                          const step_terms& terms,
                                          const std::string& rack,
                                          time_point now,
                                          std::minstd_rand& random);

} // namespace egretspindle

#endif
