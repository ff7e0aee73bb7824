/// \file
/// Simulated targets that run tasks with interference, in virtual time.

#ifndef EGRETSPINDLE_BENCH_POLICY_FAKE_FLEET_HPP
#define EGRETSPINDLE_BENCH_POLICY_FAKE_FLEET_HPP

#include "egretspindle/placement/usage_sample.hpp"

#include "fake_job.hpp"
#include "scenario.hpp"

#include <random>
#include <string>
#include <vector>

namespace egretspindle::bench
{

/// Actual state of a target, unknown to the decision functions.
struct fake_target
{
    std::string name;
    resources capacity;
    int slots = 8;
    int connections = 60;
    bool bad = false;
    std::vector<fake_task> tasks;
};

/// End of an attempt.
struct fake_end
{
    std::size_t target = 0;
    std::size_t job = 0;
    bool ok = false;
    bool stopped = false; ///< by an eviction
};

/// Returns the targets of two racks. Each has eight targets; the second rack
/// has the larger ones.
[[nodiscard]] std::vector<fake_target> make_targets(const scenario& run,
                                                    std::mt19937_64& rng);

/// Advances all tasks of a target by one tick.
///
/// \param ends  receives the attempts that ended
/// \returns whether the target was overloaded during the tick
bool advance(std::vector<fake_job>& jobs, fake_target& target,
             std::size_t index, time_point now, double tick_ms,
             std::vector<fake_end>& ends);

/// Returns noisy measurements of the tasks, as in the usage report of a target.
[[nodiscard]] std::vector<usage_sample>
measure(const std::vector<fake_job>& jobs, const fake_target& target,
        std::mt19937_64& rng);

} // namespace egretspindle::bench

#endif
