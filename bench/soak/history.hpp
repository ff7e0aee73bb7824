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

/// Request that a client has sent completely and that got no response.
struct unanswered_call
{
    std::string host;
    std::string method;
    std::string job;
    std::int64_t sent_ms = 0;  ///< after its last byte
    std::int64_t ended_ms = 0; ///< end of the connection, or of the wait
    std::int64_t limit_ms = 0; ///< longest time that the client waits
    bool is_closed = false;    ///< the host closed the connection
    bool was_reused = false;   ///< the connection had carried a response
    /// Other requests that the client had sent on the connection without
    /// waiting for their responses, and that got one.
    int answered_before = 0;
};

/// Kind of an injected fault.
enum class fault_kind
{
    unplanned,
    stop,   ///< SIGTERM of hosts
    reload, ///< SIGHUP of a host
    config, ///< a new configuration
};

/// Time of an injected fault, by the steady clock.
struct fault_window
{
    std::string text;
    std::string component;
    std::int64_t started_ms = 0;
    std::int64_t ended_ms = 0;
    fault_kind kind = fault_kind::unplanned;
};

/// Time from the boot of a target to its end.
struct target_boot
{
    std::string target;
    std::int64_t started_ms = 0;
    std::int64_t ended_ms = 0; ///< `still_running`: up at the end of the soak
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

/// Reads the boots of the targets from a journal; throws for a line that cannot
/// be read.
[[nodiscard]] std::vector<target_boot> read_boots(const std::string& file);

/// Returns the job of a task.
[[nodiscard]] std::string job_of(const std::string& task);

/// Returns a line that describes a run.
[[nodiscard]] std::string describe(const execution& item);

} // namespace egretspindle::bench

#endif
