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

/// Choice of a rack that this host made for a task; kept until load reports
/// include it.
struct recent_placement
{
    std::string rack;
    /// Target assumed to take the task; empty if the task has to queue.
    std::string target;
    task_size size; ///< that the task reserves
    /// Processors that a backfill task wants, in thousandths of a core.
    std::int64_t backfill_milli = 0;
    image_name image; ///< of a backfill task; empty for others
    time_point at;    ///< time of the choice
};

/// Latest load report of a rack, as received by the owners of jobs.
struct rack_view
{
    rack_load_report room; ///< the whole report, with the queue of the rack
    /// When the owner of the rack measured it, by the clock of this host and
    /// without the delay of the network.
    time_point measured_at;
};

/// Fleet as known to the owners of jobs.
struct fleet_load
{
    std::map<std::string, rack_view> racks;
    std::map<std::string, target_entry> targets; ///< by id
    std::vector<recent_placement> recent;        ///< by this host
    /// Mean processors of the short tasks of recent steps, in thousandths of a
    /// core, by service. Recorded by `choose_racks`.
    std::map<std::string, double> short_cpu_milli;
    /// Interference between images; a copy made by `copy_merged_model`.
    interference_model interference;
    milliseconds period{250}; ///< of the reports; see `report_period`
    std::size_t hosts = 1;    ///< live hosts, including this one; all get
                              ///< the same reports
    /// Boot ids of the other hosts, by host.
    std::map<std::string, std::int64_t> host_boots;
};

/// Stores the boot id that a message of another host carries.
///
/// \returns whether it differs from the stored one: the host is new or has
///          restarted, and has not received any pairs yet
bool update_host_boot(fleet_load& fleet, const std::string& host,
                      std::int64_t boot);

/// Stores the reports of a message, unless there are newer ones of their racks.
/// `reports` then holds those that are not used, so that the caller can free
/// them after releasing its lock.
void apply_load_reports(fleet_load& fleet,
                        std::vector<rack_load_report>& reports,
                        time_point measured_at);

/// Computes which share of its suitable targets to reserve for each image
/// whose starts wait for idle processors. A target is suitable when the image
/// harms none of its serving tasks; one target is reserved for each start.
///
/// Reserving all suitable targets for a single start does not scale: in a large
/// fleet some start always waits, and with 490 targets 9 of 10 queued starts
/// waited for targets that stayed idle.
[[nodiscard]] std::map<std::string, double>
reserved_shares(const fleet_load& fleet, time_point now);

/// Returns the services of whose processors long-running and short tasks
/// reserve less than half, by the recent reports. Targets without one count as
/// full.
[[nodiscard]] std::set<std::string>
lightly_used_services(const fleet_load& fleet, time_point now);

/// Chooses a rack for each of `count` tasks of a step.
///
/// As many tasks as fit go to a rack with free capacity, the others to further
/// racks. The first choice is `data_rack`, if it has free capacity. All hosts
/// choose the same rack for serving tasks of one image, so each host uses only
/// its share of the free capacity there. For other tasks a rack is drawn at
/// random, weighted by the idle processors of its suitable targets, so that
/// hosts with the same reports do not all choose the same one.
///
/// Tasks that fit nowhere go in groups of up to 8 (`max_queued_at_once`) to the
/// less loaded queue of two drawn at random. Adds the choices to `recent`.
///
/// A gang goes to one rack as a whole. If no rack could hold it even when empty
/// (or, with `step_terms::prefers_split_gang`, none has room for it now), it is
/// split among as few racks as possible that have reported room for all of it;
/// otherwise it waits without a rack until there is such room.
///
/// \param data_rack  preferred rack, where the data is; empty: none
/// \returns a rack for each task; empty text when no rack with a recent report
///          can take it, because no target matches or the limit of tasks of the
///          step per target is reached
[[nodiscard]] std::vector<std::string>
choose_racks(fleet_load& fleet, const step_terms& terms, std::size_t count,
             const std::string& data_rack, time_point now,
             std::minstd_rand& random);

/// Returns the processors that a target keeps, in thousandths of a core: none
/// if it drains.
[[nodiscard]] std::int64_t
lasting_capacity_milli(const target_entry& target) noexcept;

/// Returns how much of the free processors of a target the short tasks of its
/// service can use: a multiple of the mean size of those that this host has
/// chosen racks for, or all if it knows none. A mean size above the capacity of
/// the target counts as that capacity.
///
/// \param free_milli  free processors in thousandths of a core
/// \returns thousandths of a core; for a draining target minus what its tasks
///          hold, since they need other processors before it ends
[[nodiscard]] std::int64_t usable_by_short_tasks(const fleet_load& fleet,
                                                 const target_entry& target,
                                                 std::int64_t free_milli);

/// Returns whether a step of long-running tasks may use processors of a
/// service.
///
/// Keeps 8% of the capacity (`short_task_percent`) free for short tasks, in
/// pieces that they can use (`usable_by_short_tasks`). Otherwise more
/// long-running tasks than the fleet can run would occupy all of it for
/// minutes, and short tasks of the same priority would find no free capacity.
/// Returns true if the recent reports cover less than three quarters of the
/// processors of the service.
///
/// \param cpu_milli  requested by all tasks of the step together, in
///                   thousandths of a core
[[nodiscard]] bool has_room_for_long_running(const fleet_load& fleet,
                                             const std::string& service,
                                             std::int64_t cpu_milli,
                                             time_point now);

/// Returns how many queued starts with the same requirements a rack may hand
/// back to the owners of their jobs, which then choose other racks.
///
/// The owners of all racks see the same free capacity in other racks, so each
/// gets a share of half of it (`offered_share`) in proportion to its queue. The
/// result is rounded up or down at random, so that shares below one task count
/// too. It is at least one for long-running and serving tasks when other racks
/// have enough processors for one. Processors that backfill tasks use are free
/// for all other tasks. With `room_kind::eventual`, it is at least the number
/// of other racks with eventual room for a long-running task if its own rack
/// has none left.
[[nodiscard]] std::size_t
hand_back_quota(const fleet_load& fleet, const step_terms& terms,
                const std::string& rack, time_point now,
                std::minstd_rand& random, room_kind room = room_kind::eventual);

/// Returns whether a rack has reported room for a long-running task of a step,
/// counting what its short tasks will release.
[[nodiscard]] bool has_eventual_room(const fleet_load& fleet,
                                     const step_terms& terms, time_point now);

} // namespace egretspindle

#endif
