/// \file
/// Single-threaded simulation of a fleet whose hosts choose racks by load
/// reports.

#ifndef EGRETSPINDLE_TESTS_RACK_FLEET_SIMULATION_HPP
#define EGRETSPINDLE_TESTS_RACK_FLEET_SIMULATION_HPP

#include "egretspindle/rack/fleet_load.hpp"
#include "egretspindle/rack/rack_decision.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace egretspindle
{

/// Sizes and times of a simulated fleet.
struct simulation_limits
{
    int hosts = 43;
    int choosers = 32; ///< hosts that own job shards and choose racks
    int racks = 62;
    int targets = 490;
    task_size capacity{32'000, 125'000, 0}; ///< of a target
    int large_every = 0;    ///< each n-th target is 1.5 times as large; 0: none
    milliseconds step{50};  ///< by which the simulated time advances
    milliseconds tick{250}; ///< of each host: placing, reports, hand-backs
    /// From a choice to the queue of the rack: store write and message.
    milliseconds assignment_transit{150};
    /// From a hand-back to a new choice: message and next tick.
    milliseconds hand_back_transit{150};
    milliseconds min_wait{700}; ///< wait in a queue before a hand-back
    unsigned seed = 1;
};

/// Step of a job, as a caller submits it.
struct simulated_step
{
    step_terms terms;
    int tasks = 1;
    milliseconds duration{2'000}; ///< of each task
    milliseconds at{0};           ///< time of submission
};

/// Task on its way from a chooser to a rack or back.
struct simulated_task
{
    std::shared_ptr<const step_terms> terms;
    milliseconds duration{0};
    std::size_t chooser = 0;
    std::string name;
    std::int64_t run = 0;
    std::string rack;        ///< destination or origin
    time_point submitted_at; ///< time of submission
    time_point arrives_at;   ///< at the rack or the chooser
};

/// Host that chooses racks for tasks and owns some of the racks.
struct simulated_host
{
    fleet_load load;
    std::minstd_rand random;
    time_point next_tick;
    peer_turns report_turns;
    std::vector<std::string> racks;
};

/// Counts of tasks and their waiting times in a simulation.
struct simulation_result
{
    int submitted = 0;
    int refused = 0; ///< long-running tasks, by `has_room_for_long_running`
    int placed = 0;
    int handed_back = 0;
    int orders = 0;                  ///< messages from choosers to racks
    std::vector<milliseconds> waits; ///< from submission to placing
    std::vector<milliseconds> long_running_waits; ///< the same, of these only
    /// Tasks assigned to each rack, by index of the report period.
    std::map<std::int64_t, std::map<std::string, int>> assigned;
};

/// State of a simulated fleet.
struct simulation
{
    simulation_limits limits;
    time_point now;
    std::map<std::string, rack_state> racks;
    interference_model model; ///< known to all hosts
    std::vector<simulated_host> hosts;
    std::vector<simulated_task> to_racks;    ///< in transit after a choice
    std::vector<simulated_task> to_choosers; ///< in transit after a hand-back
    std::map<run_id, simulated_task> tasks_by_run; ///< queued or running
    /// Targets and runs by the time when the run will end.
    std::multimap<time_point, std::pair<std::string, run_id>> ends;
    std::int64_t next_job = 0;
    simulation_result result;
};

/// Makes a free fleet whose hosts have received a load report of each rack.
simulation make_simulation(const simulation_limits& limits);

/// Adds to each target a permanent serving task of one of 18 images, whose
/// headroom varies. The backfill images "f0" to "f9" harm some of these, and
/// all hosts know which.
///
/// \param cpu_milli  reserved by each serving task
void add_serving_tasks(simulation& sim, std::int64_t cpu_milli);

/// Makes targets fail, drawn at random. The tasks that run on them are assigned
/// again; their waits count from now.
///
/// \param share  of all targets
void fail_targets(simulation& sim, double share);

/// Marks targets as draining, drawn at random.
///
/// \param share      of all targets
/// \param remaining  time until they end, as listed
void drain_targets(simulation& sim, double share, milliseconds remaining);

/// Ends the targets that drain. The tasks that still run on them are assigned
/// again once their leases have expired; their waits count from now.
void end_drained_targets(simulation& sim);

/// Restarts the targets of the first racks, which come back empty. The tasks
/// that ran on them are assigned again; their waits count from now.
void restart_racks(simulation& sim, int count);

/// Submits steps at random choosers and advances the simulation by `duration`.
/// `simulated_step::at` counts from the time of the call. Long-running steps
/// are refused if the chooser has no room for them.
void run_simulation(simulation& sim, std::vector<simulated_step> steps,
                    milliseconds duration);

/// Returns the processors of the fleet, in thousandths of a core.
std::int64_t total_cpu(const simulation& sim);

/// Returns the processors that no task has reserved, in thousandths of a core.
std::int64_t free_cpu(const simulation& sim);

/// Returns the processors that long-running tasks have reserved, in thousandths
/// of a core.
std::int64_t long_running_cpu(const simulation& sim);

/// Returns how long the accepted tasks that have no target have waited so far.
///
/// \param is_long_running  which tasks to consider
std::vector<milliseconds> open_waits(const simulation& sim,
                                     bool is_long_running);

/// Returns the largest number of tasks that were assigned to one rack in a
/// report period, as a multiple of an even share. Ignores periods with fewer
/// than `min_tasks_per_rack` tasks per rack on average, in which random
/// variation dominates; 0 if all are ignored.
double largest_share(const simulation& sim, int min_tasks_per_rack);

/// Returns a quantile of `waits`; 0 if there are none.
///
/// \param quantile  from 0 to 1; 0.5 for the median
milliseconds wait_quantile(std::vector<milliseconds> waits, double quantile);

/// Returns a quantile of the times from submission to placement; 0 if no task
/// was placed.
///
/// \param quantile  from 0 to 1; 0.5 for the median
milliseconds wait_quantile(const simulation_result& result, double quantile);

} // namespace egretspindle

#endif
