/// \file
/// Results of one run of the policy benchmark.

#ifndef EGRETSPINDLE_BENCH_POLICY_RUN_RESULT_HPP
#define EGRETSPINDLE_BENCH_POLICY_RUN_RESULT_HPP

#include <cstdint>
#include <map>
#include <string>

namespace egretspindle::bench
{

/// Results of the interval after the warm-up; times are virtual.
struct run_result
{
    double urgent_p50_ms = 0;
    /// Rejected or failed requests count with their deadline, except those of a
    /// flood.
    double urgent_p99_ms = 0;
    std::int64_t urgent_done = 0;
    std::int64_t urgent_lost = 0; ///< rejected or failed, without floods
    /// Rejected urgent requests of a flood, and all rejected batch requests.
    std::int64_t flood_rejected = 0;
    double max_reject_ms = 0; ///< longest time to a rejection
    double check_met = 0;     ///< fraction of the checks within their deadline
    double batch_work_s = 0;  ///< work of finished batch jobs
    double urgent_work_s = 0; ///< work of finished urgent requests
    std::int64_t batch_done = 0;
    double batch_slots = 0;     ///< mean fraction of the slots with batch tasks
    std::int64_t overloads = 0; ///< overloaded targets, summed over ticks
    std::int64_t good_parked = 0;
    std::int64_t bad_parked = 0;
    std::map<std::string, std::int64_t> evictions; ///< by cause
    std::int64_t throttles = 0;
    /// Urgent requests that were not placed at once, by reason.
    std::map<std::string, std::int64_t> not_placed;
};

} // namespace egretspindle::bench

#endif
