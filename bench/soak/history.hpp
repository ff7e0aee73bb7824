/// \file
/// What ran where, from the journal of the stand-in.

#ifndef EGRETSPINDLE_BENCH_SOAK_HISTORY_HPP
#define EGRETSPINDLE_BENCH_SOAK_HISTORY_HPP

#include <cstdint>
#include <limits>
#include <map>
#include <string>
#include <vector>

namespace egretspindle::bench
{

/// Request on a kept-open connection that the host closed instead of
/// responding.
struct cut_call
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
    std::string victim;
    std::int64_t begun_ms = 0;
    std::int64_t ended_ms = 0;
};

/// Time of a planned stop of a host.
struct planned_stop
{
    std::int64_t begun_ms = 0; ///< SIGTERM
    std::int64_t gone_ms = 0;  ///< 0: not yet, or killed meanwhile
};

/// Time of an end that has not come yet.
constexpr std::int64_t still_running = std::numeric_limits<std::int64_t>::max();

/// One run of a task on a target.
struct execution
{
    std::string target; ///< machine
    std::string id;     ///< under which the life was registered
    std::int64_t born = 0;
    std::int64_t run = 0;
    std::int64_t token = 0;
    std::int64_t begun_ms = 0;
    std::int64_t ended_ms = still_running;
    std::string how;
    /// Acknowledgement of the end without an expiry between; 0: none.
    std::int64_t acknowledged_ms = 0;
};

/// Runs of each task in the order of their begin.
using history = std::map<std::string, std::vector<execution>>;

/// Reads a journal; throws for a line that cannot be read.
[[nodiscard]] history read_history(const std::string& file);

/// Returns the job of a task.
[[nodiscard]] std::string job_of(const std::string& task);

/// Returns a line that describes a run.
[[nodiscard]] std::string describe(const execution& item);

} // namespace egretspindle::bench

#endif
