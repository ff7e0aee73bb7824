/// \file
/// Choosers and racks that know each other by reports only, without threads.

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
    int choosers = 32; ///< hosts that own shards of jobs
    int racks = 62;
    int targets = 490;
    milliseconds step{50};
    milliseconds tick{250};
    milliseconds order_transit{150}; ///< record of a choice, message to a rack
    milliseconds back_transit{150};  ///< message to a chooser, its next tick
    milliseconds patience{700};      ///< of queued starts
    unsigned seed = 1;
};

/// Tasks of one step, as a caller submits them.
struct simulated_step
{
    step_terms terms;
    int tasks = 1;
    milliseconds duration{2'000}; ///< of each task
    milliseconds at{0};           ///< submitted
};

/// Task on its way from a chooser to a rack or back.
struct simulated_task
{
    std::shared_ptr<const step_terms> terms;
    milliseconds duration{0};
    std::size_t chooser = 0;
    std::string name;
    std::int64_t run = 0;
    std::string rack; ///< to or from which it goes
    time_point first_at;
    time_point arrives_at;
};

/// Host that chooses racks and owns some.
struct simulated_host
{
    fleet_load load;
    std::minstd_rand random;
    time_point next_tick;
    send_schedule report_schedule;
    std::vector<std::string> racks;
};

/// What happened in a simulation.
struct simulation_result
{
    int submitted = 0;
    int placed = 0;
    int handed_back = 0;
    int orders = 0;                  ///< messages from choosers to racks
    std::vector<milliseconds> waits; ///< from submission to placing
    /// Tasks that each rack was given, by number of the report period.
    std::map<std::int64_t, std::map<std::string, int>> given;
};

/// Fleet with its choosers.
struct simulation
{
    simulation_limits limits;
    time_point now;
    std::map<std::string, rack_state> racks;
    interference_model model; ///< known to all hosts
    std::vector<simulated_host> hosts;
    std::vector<simulated_task> to_racks;
    std::vector<simulated_task> to_choosers;
    std::map<run_id, simulated_task> known; ///< queued or at work
    std::multimap<time_point, std::pair<std::string, run_id>> ends;
    std::int64_t next_job = 0;
    simulation_result result;
};

/// Makes a free fleet whose hosts have heard all reports once.
simulation make_simulation(const simulation_limits& limits);

/// Reserves a part of each target by a task that serves users and lasts, of one
/// of 18 images. Images "f0" to "f9" harm some of these; all hosts know which.
/// The headroom of the serving tasks swings.
void add_serving_tasks(simulation& sim, std::int64_t cpu_milli);

/// Lets steps arrive at random hosts and runs until `end`.
void run_simulation(simulation& sim, std::vector<simulated_step> steps,
                    milliseconds end);

/// Returns the processors of the fleet, and those that no task has reserved.
std::int64_t total_cpu(const simulation& sim);
std::int64_t free_cpu(const simulation& sim);

/// Returns the most tasks that one rack was given in a report period, as a
/// multiple of an even share. Periods with less than `least` tasks for each
/// rack are left out, where chance dominates.
double largest_share(const simulation& sim, int least);

/// Returns the wait that a share of the placed tasks did not exceed.
milliseconds wait_quantile(const simulation_result& result, double share);

} // namespace egretspindle

#endif
