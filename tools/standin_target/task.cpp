#include "task.hpp"

#include "egretspindle/codec/json.hpp"

#include <algorithm>

namespace egretspindle::standin
{

double cores_of(const task& value, bool has_guards)
{
    const double limit =
        has_guards ? std::min(value.load.cpu, value.command.reserve.cpu_cores)
                   : value.load.cpu;
    return limit * value.share;
}

task_state state_of(const task& value, bool with_answer)
{
    task_state result;
    result.key = value.command.key;
    result.attempt = value.command.attempt;
    result.state = value.state;
    result.ok = value.ok;
    result.error = value.error;
    result.checkpoint = value.checkpoint;
    result.team = value.command.team;
    result.kind = value.command.kind;
    result.urgent = value.command.urgent;
    result.cpu_cores = value.command.reserve.cpu_cores;
    result.memory_mb = value.command.reserve.memory_mb;
    result.accelerators = value.command.reserve.accelerators;
    const time_point end =
        value.state == "running" ? steady_clock::now() : value.ended;
    result.run_ms = elapsed_ms(value.started, end);
    if (with_answer)
    {
        result.answer = value.answer;
    }
    return result;
}

void save_checkpoint(task& value)
{
    value.checkpoint =
        to_json(checkpoint_data{value.command.key, value.done_ms});
    value.checkpointed_ms = value.done_ms;
}

void prepare(task& value)
{
    value.load = parse_work(value.command.body);
    value.checkpoint = value.command.checkpoint;
    value.started = steady_clock::now();
    if (value.checkpoint.empty())
    {
        return;
    }
    const absl::StatusOr<checkpoint_data> data =
        from_json<checkpoint_data>(value.checkpoint);
    if (data.ok() && data->key == value.command.key)
    {
        value.done_ms = data->done_ms;
        value.checkpointed_ms = data->done_ms;
    }
    else
    {
        value.load.fail = true;
        value.error = "checkpoint of another task";
    }
}

} // namespace egretspindle::standin
