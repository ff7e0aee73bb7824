/// \file
/// Jobs and tasks of the simulated targets.

#ifndef EGRETSPINDLE_BENCH_POLICY_FAKE_JOB_HPP
#define EGRETSPINDLE_BENCH_POLICY_FAKE_JOB_HPP

#include "egretspindle/core/clock.hpp"
#include "egretspindle/core/resources.hpp"

#include <cstddef>
#include <string>
#include <vector>

namespace egretspindle::bench
{

/// Actual properties of a job, those declared by the caller, and its progress.
struct fake_job
{
    std::size_t kind = 0;
    resources size;     ///< actual peak use
    resources declared; ///< peak use declared by the caller
    double work_ms = 0;
    double done_ms = 0;     ///< progress, preserved by checkpoints
    double expected_ms = 0; ///< run time declared by the caller
    bool flood = false;     ///< part of a flood
    bool bad = false;       ///< fails everywhere
    time_point arrival;
    int attempt = 0;
    std::vector<std::string> excluded;
};

/// Attempt of a job on a simulated target.
struct fake_task
{
    std::size_t job = 0;
    double share = 1;         ///< processor share; 1 if not throttled
    double start_done_ms = 0; ///< progress at the start of the attempt
    time_point started;
    bool stopping = false;
    time_point stop_at; ///< when a stop takes effect
    double rate = 1;    ///< speed relative to running alone
};

} // namespace egretspindle::bench

#endif
