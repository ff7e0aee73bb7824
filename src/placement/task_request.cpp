#include "egretspindle/placement/task_request.hpp"

namespace egretspindle
{

task_request make_task_request(const request_spec& spec, int attempt,
                               std::optional<time_point> deadline)
{
    task_request request;
    request.key = key_of(spec);
    request.attempt = attempt;
    request.kind = spec.kind;
    request.team = spec.team;
    request.urgent = spec.urgent;
    request.checkpointable = spec.checkpointable;
    request.size = spec.size;
    request.expected_ms = static_cast<double>(spec.expected_ms);
    request.deadline = deadline;
    return request;
}

} // namespace egretspindle
