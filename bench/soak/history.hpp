/// \file
/// Runs of tasks on targets, read from the journal of the stand-in platform.

#ifndef EGRETSPINDLE_BENCH_SOAK_HISTORY_HPP
#define EGRETSPINDLE_BENCH_SOAK_HISTORY_HPP

#include <cstdint>
#include <limits>
#include <map>
#include <string>
#include <vector>

namespace egretspindle::bench
{

/// Request on a keep-alive connection that the host closed instead of
/// responding.
struct interrupted_call
{
    std::string host;
    std::string method;
    std::string job;
    std::int64_t sent_ms = 0;
    std::int64_t closed_ms = 0;
};

/// Time of an injected fault, by the steady clock.
struct fault_window
{
    std::string text;
    std::string component;
    std::int64_t started_ms = 0;
    std::int64_t ended_ms = 0;
};

/// Time of a planned stop of a host.
struct planned_stop
{
    std::int64_t started_ms = 0; ///< time of SIGTERM
    std::int64_t exited_ms = 0;  ///< exit; 0: still running, or killed
};

/// End time of a run that has not ended.
constexpr std::int64_t still_running = std::numeric_limits<std::int64_t>::max();

/// One run of a task on a target.
struct execution
{
    std::string target; ///< name of the target, the same for all of its boots
    std::string id;     ///< registered for this boot of the target
    std::int64_t booted_ms = 0;
    std::int64_t run = 0;
    std::int64_t token = 0;
    std::int64_t started_ms = 0;
    std::int64_t ended_ms = still_running;
    std::string outcome;
    /// Time at which the end was acknowledged; 0: never, or after the lease had
    /// expired.
    std::int64_t acknowledged_ms = 0;
};

/// Runs of each task, ordered by start time.
using history = std::map<std::string, std::vector<execution>>;

/// Reads a journal; throws for a line that cannot be read.
[[nodiscard]] history read_history(const std::string& file);

/// Returns the job of a task.
[[nodiscard]] std::string job_of(const std::string& task);

/// Returns a line that describes a run.
[[nodiscard]] std::string describe(const execution& item);

} // namespace egretspindle::bench

#endif
