/// \file
/// Racks and requests for the placement tests.

#ifndef EGRETSPINDLE_TESTS_PLACEMENT_RACK_FIXTURE_HPP
#define EGRETSPINDLE_TESTS_PLACEMENT_RACK_FIXTURE_HPP

#include "egretspindle/placement/rack_load.hpp"
#include "egretspindle/placement/task_request.hpp"

#include <string>

namespace egretspindle::test
{

constexpr time_point start = time_point{} + std::chrono::hours(1);

/// Makes a rack of empty targets `t0`, `t1`, ...
inline rack_load make_rack(int targets, int slots = 8)
{
    rack_load rack;
    for (int n = 0; n < targets; ++n)
    {
        target_load target;
        target.name = "t" + std::to_string(n);
        target.capacity = {32, 125000, 2};
        target.slots = slots;
        target.connections = 60;
        rack.targets.push_back(target);
    }
    return rack;
}

/// Makes a running task with a reservation of one core and 1000 MB.
inline task_load make_task(const std::string& key, const std::string& kind,
                           const std::string& team, bool urgent)
{
    task_load task;
    task.key = key;
    task.attempt = 1;
    task.kind = kind;
    task.team = team;
    task.urgent = urgent;
    task.checkpointable = !urgent;
    task.reserve = {1, 1000, 0};
    task.started = start - std::chrono::minutes(1);
    task.expected_end = start + std::chrono::seconds(30);
    return task;
}

/// Makes a request for one core and 1000 MB.
inline task_request make_request(const std::string& key,
                                 const std::string& kind,
                                 const std::string& team, bool urgent)
{
    task_request request;
    request.key = key;
    request.kind = kind;
    request.team = team;
    request.urgent = urgent;
    request.checkpointable = !urgent;
    request.size = {1, 1000, 0};
    request.expected_ms = 100;
    return request;
}

} // namespace egretspindle::test

#endif
