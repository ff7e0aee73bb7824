/// \file
/// Task of the stand-in target.

#ifndef EGRETSPINDLE_TOOLS_STANDIN_TARGET_TASK_HPP
#define EGRETSPINDLE_TOOLS_STANDIN_TARGET_TASK_HPP

#include "egretspindle/adapters/start_command.hpp"
#include "egretspindle/adapters/task_state.hpp"
#include "egretspindle/core/clock.hpp"

#include "common/work.hpp"

#include <condition_variable>
#include <string>

namespace egretspindle::standin
{

/// Progress saved by a task.
struct checkpoint_data
{
    std::string key;
    double done_ms = 0;
};

/// Visits the fields of `checkpoint_data` for the codec.
template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const checkpoint_data* /*tag*/)
{
    visit("key", value.key);
    visit("done_ms", value.done_ms);
}

/// One attempt, running or retained. Protected by the mutex of its table.
struct task
{
    start_command command;
    work load;
    std::string state = "running";
    bool ok = false;
    std::string answer;
    std::string error;
    std::string checkpoint;
    double done_ms = 0;         ///< work done
    double checkpointed_ms = 0; ///< work in the latest checkpoint
    double share = 1;           ///< set by throttling
    double rate = 1;            ///< latest progress per unit of time
    std::int64_t lease_until_ms = 0;
    time_point started;
    time_point ended;
    std::int64_t last_tick_ms = 0; ///< Unix epoch
    bool is_acknowledged = false;
    std::condition_variable changed;
};

/// Returns the cores that a task uses. With guards, these are at most the
/// reserved ones.
[[nodiscard]] double cores_of(const task& value, bool has_guards);

/// Returns the state as the protocol reports it, without the target's clock.
[[nodiscard]] task_state state_of(const task& value, bool with_answer);

/// Saves the progress of a task.
void save_checkpoint(task& value);

/// Prepares a task from its command. A checkpoint of another key makes it
/// fail.
void prepare(task& value);

} // namespace egretspindle::standin

#endif
