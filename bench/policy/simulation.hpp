/// \file
/// Simulation of the decision functions with simulated targets.

#ifndef EGRETSPINDLE_BENCH_POLICY_SIMULATION_HPP
#define EGRETSPINDLE_BENCH_POLICY_SIMULATION_HPP

#include "egretspindle/admission/batch_queue.hpp"
#include "egretspindle/admission/health_table.hpp"
#include "egretspindle/admission/retry_budget.hpp"
#include "egretspindle/admission/urgent_queue.hpp"
#include "egretspindle/placement/choose_racks.hpp"
#include "egretspindle/placement/guard.hpp"
#include "egretspindle/placement/placement_decision.hpp"

#include "fake_fleet.hpp"
#include "run_result.hpp"
#include "scenario.hpp"

#include <deque>
#include <random>
#include <vector>

namespace egretspindle::bench
{

/// Simulates the coordinator and the rack owners of one data centre.
class simulation
{
public:
    explicit simulation(const scenario& run);

    /// Runs the simulation and returns the results.
    [[nodiscard]] run_result run();

private:
    struct report
    {
        time_point due;
        std::size_t target = 0;
        std::vector<usage_sample> samples;
    };
    struct pending_start
    {
        std::size_t job = 0;
        std::size_t target = 0;
        std::size_t stops = 0; ///< evictions that are not confirmed yet
    };

    void tick();
    void add_arrivals();
    void add_job(std::size_t kind, bool flood);
    void submit_urgent(std::size_t job);
    void count_lost_urgent(std::size_t job, const char* reason);
    bool try_rack(std::size_t job, std::size_t rack, bool queued,
                  bool may_evict = true);
    void dispatch_batch();
    void dispatch_urgent(std::size_t rack);
    void apply_decision(std::size_t job, std::size_t rack,
                        const placement_decision& decision);
    void stop(const eviction& order);
    void start(std::size_t job, std::size_t target);
    void finish(const fake_end& end);
    void finish_failed(std::size_t job, std::size_t target);
    void count_success(std::size_t job);
    void enqueue(std::size_t job);
    void take_reports();
    void deliver_reports();
    void apply_report(const report& entry);
    void summarize_racks();
    void end_measurement();

    [[nodiscard]] bool measured() const;
    [[nodiscard]] task_request request_of(std::size_t job) const;
    [[nodiscard]] target_load& load_of(std::size_t target);
    [[nodiscard]] std::size_t target_index(const std::string& name) const;
    [[nodiscard]] std::size_t rack_of(std::size_t target) const;

    scenario run_;
    std::mt19937_64 rng_;
    time_point begin_;
    time_point now_;
    std::int64_t ticks_ = 0;
    policy_limits limits_;
    std::vector<fake_job> jobs_;
    std::vector<fake_target> targets_;
    std::vector<rack_load> racks_;
    std::vector<policy_model> models_;
    std::vector<urgent_queue> urgent_;
    std::vector<std::vector<std::size_t>> waiting_; ///< jobs of `urgent_`
    std::vector<bool> ended_; ///< racks on which a task ended in this tick
    std::vector<rack_summary> summaries_;
    batch_queue batch_;
    team_use_map use_;
    health_table health_;
    retry_budget retries_;
    std::deque<report> reports_;
    std::vector<pending_start> pending_;
    std::vector<double> latencies_;
    std::int64_t checks_ = 0;
    std::int64_t checks_met_ = 0;
    double batch_slot_ticks_ = 0;
    std::int64_t measured_ticks_ = 0;
    run_result result_;
};

} // namespace egretspindle::bench

#endif
