#include "egretspindle/node/plan_limits.hpp"

namespace egretspindle
{

policy_limits make_policy_limits(const plan_document& plan)
{
    policy_limits limits;
    double urgent_floor = 0;
    double batch_floor = 0;
    for (const auto& [name, team] : plan.teams)
    {
        team_limits converted;
        converted.quota = team.quota;
        converted.weight = team.weight;
        converted.max_queue = static_cast<int>(team.max_queue);
        limits.teams[name] = converted;
        urgent_floor += team.urgent_floor;
        batch_floor += team.batch_floor;
    }
    if (urgent_floor > 0)
    {
        limits.urgent_floor = urgent_floor;
    }
    if (batch_floor > 0)
    {
        limits.batch_floor = batch_floor;
    }
    for (const auto& [name, service] : plan.services)
    {
        limits.kinds[name] = {service.team,
                              static_cast<double>(service.deadline_ms), 0};
    }
    for (const auto& [name, batch] : plan.batches)
    {
        limits.kinds[name] = {batch.team, 0, static_cast<int>(batch.priority)};
    }
    return limits;
}

} // namespace egretspindle
