/// \file
/// Targets that run tasks with interference in virtual time.

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

/// True state of a target, which the decision functions do not see.
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

/// Makes the targets of two racks, eight each, of two sizes.
[[nodiscard]] std::vector<fake_target> make_targets(const scenario& run,
                                                    std::mt19937_64& rng);

/// Advances all tasks of a target by one tick.
///
/// \param ends  filled with the attempts that ended
/// \returns whether the target was overloaded during the tick
bool advance(std::vector<fake_job>& jobs, fake_target& target,
             std::size_t index, time_point now, double tick_ms,
             std::vector<fake_end>& ends);

/// Measures the tasks with noise, as a target does for its reports.
[[nodiscard]] std::vector<usage_sample>
measure(const std::vector<fake_job>& jobs, const fake_target& target,
        std::mt19937_64& rng);

} // namespace egretspindle::bench

#endif
