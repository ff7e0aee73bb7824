/// \file
/// Free capacity of the fleet as the owners of racks report it.

#ifndef EGRETSPINDLE_RACK_FLEET_LOAD_HPP
#define EGRETSPINDLE_RACK_FLEET_LOAD_HPP

#include "egretspindle/core/clock.hpp"
#include "egretspindle/fleet/target_entry.hpp"
#include "egretspindle/rack/pressure_model.hpp"
#include "egretspindle/rack/queued_start.hpp"
#include "egretspindle/rack/rack_state.hpp"

#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace egretspindle
{

/// Room on one target.
struct target_room
{
    std::string id;
    task_size room;                    ///< negative when it is overcommitted
    std::int64_t idle_users_milli = 0; ///< wanted by tasks on idle processors
    std::int64_t unused_milli = 0;     ///< reserved by other tasks, not used
    /// Headroom that company may take, by image of the serving tasks.
    std::map<std::string, double> spare;
    double scarcity = 0;  ///< see `target_mix`
    double reserved = 0;  ///< see `target_mix`
    bool is_open = false; ///< accepts starts
};

/// Visits the fields of `target_room` for the codec.
template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const target_room* /*tag*/)
{
    visit("i", value.id);
    visit("c", value.room.cpu_milli);
    visit("m", value.room.memory_mb);
    visit("a", value.room.accelerators);
    visit("u", value.idle_users_milli);
    visit("s", value.unused_milli);
    visit("h", value.spare);
    visit("x", value.scarcity);
    visit("w", value.reserved);
    visit("o", value.is_open);
}

/// Room and queue of a rack.
struct rack_room
{
    std::string rack;
    std::int64_t queued = 0;           ///< starts that wait
    std::int64_t queued_cpu_milli = 0; ///< processors that they want
    /// Images of starts that have waited for idle processors for a while.
    std::vector<std::string> waiting;
    std::vector<target_room> targets;
};

/// Visits the fields of `rack_room` for the codec.
template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const rack_room* /*tag*/)
{
    visit("rack", value.rack);
    visit("queued", value.queued);
    visit("queued_cpu", value.queued_cpu_milli);
    visit("waiting", value.waiting);
    visit("targets", value.targets);
}

/// Room of all racks that one host owns.
struct load_report
{
    std::string host;
    std::int64_t number = 0; ///< rises within one life of the host
    std::int64_t boot = 0;   ///< life of the host
    std::vector<rack_room> racks;
    std::vector<pair_pressure> pressures; ///< learned by the host
};

/// Visits the fields of `load_report` for the codec.
template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const load_report* /*tag*/)
{
    visit("host", value.host);
    visit("number", value.number);
    visit("boot", value.boot);
    visit("racks", value.racks);
    visit("pressures", value.pressures);
}

/// Returns the room of a rack for a report.
[[nodiscard]] rack_room measure_room(const rack_state& rack,
                                     const pressure_model& model,
                                     time_point now);

/// Placement of this host that no report shows yet.
struct recent_placement
{
    std::string rack;
    std::string target;
    task_size size;
    std::int64_t idle_users_milli = 0;
    std::string image; ///< of a task on idle processors
    time_point at;
};

/// Rack as seen by the owners of jobs.
struct rack_view
{
    rack_room room;
    time_point reported_at;
};

/// Fleet as seen by the owners of jobs.
struct fleet_load
{
    std::map<std::string, rack_view> racks;
    std::map<std::string, target_entry> targets; ///< by id
    std::vector<recent_placement> recent;
    pressure_model pressures;
};

/// Returns the images of starts that wait for idle processors, as reported
/// lately by the owners of racks.
[[nodiscard]] std::set<std::string> waiting_images(const fleet_load& fleet,
                                                   time_point now);

/// Chooses a rack for each of `count` tasks of a step.
///
/// Answers a step that becomes due while the fleet is partly free: as many
/// tasks as fit go to a rack with room, chosen at random by its free
/// processors, so that hosts with the same reports do not all choose the same
/// one. Tasks that fit nowhere now go to the rack with the shortest queue for
/// its size. Remembers the choice in `recent`.
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
[[nodiscard]] bool has_room_to_last(const fleet_load& fleet,
                                    const std::string& service,
                                    std::int64_t cpu_milli, time_point now);

/// Returns whether a target of another rack has room for a task now.
[[nodiscard]] bool has_room_elsewhere(const fleet_load& fleet,
                                      const step_terms& terms,
                                      const std::string& rack, time_point now);

} // namespace egretspindle

#endif
