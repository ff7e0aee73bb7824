/// \file
/// State of a task as its target reports it.

#ifndef EGRETSPINDLE_ADAPTERS_TASK_STATE_HPP
#define EGRETSPINDLE_ADAPTERS_TASK_STATE_HPP

#include <cstdint>
#include <string>

namespace egretspindle
{

/// State of one attempt.
struct task_state
{
    std::string key;
    int attempt = 0;
    /// `running`, `finished`, `stopped`, `unknown`.
    std::string state = "unknown";
    bool ok = false; ///< whether a finished task succeeded
    std::string answer;
    std::string error;
    std::string checkpoint;    ///< latest checkpoint
    std::int64_t clock_ms = 0; ///< target's clock
    std::string boot_id;       ///< changes with each restart of the target
    std::string team;
    std::string kind;
    bool urgent = false;
    double cpu_cores = 0; ///< reserved
    double memory_mb = 0; ///< reserved
    int accelerators = 0; ///< reserved
    bool preemptible = false;
    std::int64_t run_ms = 0; ///< time since the start
};

/// Visits the fields of `task_state` for the codec.
template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const task_state* /*tag*/)
{
    visit("key", value.key);
    visit("attempt", value.attempt);
    visit("state", value.state);
    visit("ok", value.ok);
    visit("answer", value.answer);
    visit("error", value.error);
    visit("checkpoint", value.checkpoint);
    visit("clock_ms", value.clock_ms);
    visit("boot_id", value.boot_id);
    visit("team", value.team);
    visit("kind", value.kind);
    visit("urgent", value.urgent);
    visit("cpu_cores", value.cpu_cores);
    visit("memory_mb", value.memory_mb);
    visit("accelerators", value.accelerators);
    visit("preemptible", value.preemptible);
    visit("run_ms", value.run_ms);
}

} // namespace egretspindle

#endif
