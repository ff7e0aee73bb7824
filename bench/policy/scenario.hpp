/// \file
/// Parameters of one run of the policy benchmark.

#ifndef EGRETSPINDLE_BENCH_POLICY_SCENARIO_HPP
#define EGRETSPINDLE_BENCH_POLICY_SCENARIO_HPP

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>

namespace egretspindle::bench
{

/// Strategy for choosing targets and admitting work.
enum class strategy
{
    policy,       ///< the policy under test
    least_loaded, ///< admission of the policy, least loaded target that fits
    random,       ///< admission of the policy, random target that fits
    no_admission, ///< least loaded; no floors, quotas or queue limits
    declared,     ///< least loaded; reserves the declared size
};

/// Properties of a simulated kind of task.
struct kind_profile
{
    const char* name;
    const char* team;
    bool urgent;
    double work_ms;
    double cpu_cores;
    double memory_mb;
    double deadline_ms;
};

constexpr std::size_t kind_count = 5;

constexpr std::array<kind_profile, kind_count> kinds{{
    {"draft", "rota", true, 120, 1.5, 1000, 5900},
    {"check", "upload", true, 80, 1, 500, 2000},
    {"convert", "archive", false, 8000, 3, 6000, 0},
    {"index", "search", false, 15000, 3, 10000, 0},
    {"split", "treasurer", false, 5000, 2, 4000, 0},
}};

/// Slowdown of the row's kind per co-running task of the column's kind at
/// full load.
constexpr std::array<std::array<double, kind_count>, kind_count> slowdowns{{
    {0.02, 0.02, 0.45, 0.05, 0.02},
    {0.02, 0.02, 0.30, 0.02, 0.05},
    {0.02, 0.02, 0.05, 0.10, 0.02},
    {0.02, 0.02, 0.12, 0.02, 0.02},
    {0.02, 0.02, 0.05, 0.02, 0.02},
}};

/// Parameters of one run.
struct scenario
{
    strategy choice = strategy::policy;
    std::uint64_t seed = 1;
    double warm_up_s = 60;     ///< time before the measurement
    double measured_s = 60;    ///< length of the measurement
    double urgent_load = 0.15; ///< fraction of the slots without interference
    double batch_load = 0.6;   ///< fraction of the slots without interference
    /// Additional `convert` and `draft` load after the warm-up, as multiples of
    /// the slots.
    double batch_flood = 0;
    double urgent_flood = 0;
    double size_scale = 1;       ///< factor of the resources of batch kinds
    bool wrong_sizes = false;    ///< declared with errors of 0.1 to 10 times
    std::size_t bad_targets = 0; ///< number of targets that fail all tasks
    std::size_t bad_jobs = 0;    ///< number of jobs that fail on all targets
};

} // namespace egretspindle::bench

#endif
