#include "egretspindle/placement/choose_target.hpp"

#include "egretspindle/placement/capacity.hpp"
#include "egretspindle/placement/rack_share.hpp"

#include "eviction_plan.hpp"
#include "model_access.hpp"
#include "target_score.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <limits>

namespace egretspindle
{

namespace
{

// Share of the decisions that take an uncertain alternative, to learn pairs
// that the policy would otherwise never try again.
constexpr double explore_share = 0.01;
// An alternative is explored only when it is predicted at most this much
// slower.
constexpr double explore_bound = 1.3;
// Scores within this factor of the best count as equal; the least loaded of
// them is taken. Keeps noise in the estimates from moving all work at once.
constexpr double tie_factor = 1.03;
// Time to stop a task with a checkpoint before its place can be used.
constexpr double eviction_ms = 200;
constexpr double default_run_ms = 1000;

/// What is the same for all targets of one decision.
struct context
{
    const rack_load& rack;
    const task_request& request;
    const policy_model& model;
    const policy_limits& limits;
    time_point now;
    rack_share share;
    detail::score_input score;
};

bool is_excluded(const task_request& request, const std::string& target)
{
    return std::find(request.excluded.begin(), request.excluded.end(),
                     target) != request.excluded.end();
}

/// Returns why a target cannot take the request now; empty when it can.
std::string obstacle_of(const context& in, std::size_t index,
                        const resources& reservation)
{
    const target_load& target = in.rack.targets[index];
    if (!takes_work(target, in.request.urgent))
    {
        return target.leaving     ? "leaving"
               : target.reachable ? std::string(to_string(target.health_state))
                                  : "unreachable";
    }
    if (is_excluded(in.request, target.name))
    {
        return "excluded";
    }
    const int slots = free_slots(target);
    if (slots <= 0)
    {
        return "no slot or connection";
    }
    const resources free = free_capacity(in.model, target);
    if (!fits(reservation, free))
    {
        return fmt::format("free {:.1f} cores {:.0f} MB {} accelerators",
                           free.cpu_cores, free.memory_mb, free.accelerators);
    }
    if (!in.request.urgent &&
        !leaves_room(in.share, in.rack, index, free, reservation))
    {
        return "room kept for urgent work";
    }
    return {};
}

/// Returns the time until a task on the target is expected to end.
double wait_on(const target_load& target, time_point now)
{
    double wait = std::numeric_limits<double>::infinity();
    for (const task_load& task : target.tasks)
    {
        const double left =
            std::chrono::duration<double, std::milli>(task.expected_end - now)
                .count();
        const double elapsed =
            std::chrono::duration<double, std::milli>(now - task.started)
                .count();
        // A task beyond its expected end is likely to go on for a time in
        // proportion to what it has run already.
        wait = std::min(wait, left > 0 ? left : 0.3 * elapsed + 1);
    }
    return wait;
}

double predicted_wait(const context& in)
{
    double wait = std::numeric_limits<double>::infinity();
    for (const target_load& target : in.rack.targets)
    {
        if (takes_work(target, in.request.urgent) &&
            !is_excluded(in.request, target.name))
        {
            wait = std::min(wait, wait_on(target, in.now));
        }
    }
    return wait;
}

double remaining_ms(const context& in)
{
    if (!in.request.deadline)
    {
        return std::numeric_limits<double>::infinity();
    }
    return std::chrono::duration<double, std::milli>(*in.request.deadline -
                                                     in.now)
        .count();
}

bool fits_some_target(const context& in)
{
    for (const target_load& target : in.rack.targets)
    {
        if (fits(reservation_for(in.model, in.request, target.capacity),
                 target.capacity))
        {
            return true;
        }
    }
    return in.rack.targets.empty();
}

/// Takes the best target; sometimes an uncertain one that is nearly as good.
std::size_t pick(const context& in, const placement_decision& decision,
                 const std::vector<double>& loads, std::mt19937_64& rng)
{
    const std::vector<placement_alternative>& all = decision.alternatives;
    std::size_t best = all.size();
    for (std::size_t n = 0; n < all.size(); ++n)
    {
        if (all[n].infeasible_reason.empty() &&
            (best == all.size() || all[n].score_ms < all[best].score_ms))
        {
            best = n;
        }
    }
    if (best == all.size())
    {
        return best;
    }
    const double lowest = all[best].score_ms;
    const bool explore = std::uniform_real_distribution<>(0, 1)(rng) <
                         (in.request.urgent ? 0 : explore_share);
    const double bound = lowest * (explore ? explore_bound : tie_factor);
    // Equals are shuffled, so that owners with the same view spread.
    const std::size_t first = rng() % all.size();
    for (std::size_t n = 0; n < all.size(); ++n)
    {
        const std::size_t other = (first + n) % all.size();
        if (all[other].infeasible_reason.empty() &&
            all[other].score_ms <= bound &&
            (explore || loads[other] < loads[best] - 1e-9))
        {
            best = other;
            if (explore)
            {
                break;
            }
        }
    }
    return best;
}

void set_place(placement_decision& decision, const context& in,
               std::size_t index, double wait_ms)
{
    const target_load& target = in.rack.targets[index];
    decision.kind = placement_kind::place;
    decision.target = target.name;
    decision.reservation =
        reservation_for(in.model, in.request, target.capacity);
    decision.predicted_wait_ms = wait_ms;
    decision.predicted_run_ms = detail::predicted_run(
        in.score, in.model, in.share.tasks[index], in.now);
    decision.predicted_finish_ms = wait_ms + decision.predicted_run_ms;
}

void set_wait_or_reject(placement_decision& decision, const context& in,
                        std::string reason)
{
    decision.predicted_wait_ms = predicted_wait(in);
    decision.predicted_run_ms = in.score.run_ms;
    decision.predicted_finish_ms =
        decision.predicted_wait_ms + decision.predicted_run_ms;
    decision.reason = std::move(reason);
    const bool too_late =
        in.request.urgent && decision.predicted_finish_ms > remaining_ms(in);
    decision.kind = too_late ? placement_kind::reject : placement_kind::wait;
    if (too_late)
    {
        decision.reason += "; deadline cannot be met";
    }
    const double wait = std::min(decision.predicted_wait_ms, 30000.0);
    decision.retry_after_ms =
        std::max<std::int64_t>(100, static_cast<std::int64_t>(wait));
}

std::vector<double> consider_targets(placement_decision& decision,
                                     const context& in, const std::string& gate)
{
    std::vector<double> loads;
    for (const target_load& target : in.rack.targets)
    {
        const std::size_t index = loads.size();
        placement_alternative entry;
        entry.target = target.name;
        const resources reservation =
            reservation_for(in.model, in.request, target.capacity);
        entry.infeasible_reason =
            gate.empty() ? obstacle_of(in, index, reservation) : gate;
        if (entry.infeasible_reason.empty())
        {
            entry.score_ms =
                detail::score_of(in.score, in.model, in.share.tasks[index],
                                 in.share.urgent_slowdown[index], in.now);
        }
        loads.push_back(in.share.tasks[index].load);
        decision.alternatives.push_back(std::move(entry));
    }
    return loads;
}

bool try_evictions(placement_decision& decision, const context& in,
                   const std::string& gate)
{
    // Work that floors or quotas hold back gets no room by eviction, except
    // for batch within its own quota.
    if (!gate.empty())
    {
        return false;
    }
    const detail::eviction_plan plan = detail::plan_evictions(
        in.rack, in.request, in.model, in.limits, in.share, in.now);
    if (plan.evictions.empty())
    {
        return false;
    }
    set_place(decision, in, plan.target, eviction_ms);
    if (decision.predicted_finish_ms > remaining_ms(in))
    {
        decision.target.clear();
        return false;
    }
    decision.evictions = plan.evictions;
    decision.reason = "room by eviction";
    return true;
}

double run_estimate(const policy_model& model, const task_request& request)
{
    const kind_estimate* estimate = find_estimate(model, request.kind);
    if (estimate != nullptr && estimate->ends >= 3)
    {
        return request.urgent ? estimate->base_ms : estimate->run_ms;
    }
    return request.expected_ms > 0 ? request.expected_ms : default_run_ms;
}

} // namespace

placement_decision choose_target(const rack_load& rack,
                                 const task_request& request,
                                 const policy_model& model,
                                 const policy_limits& limits, time_point now,
                                 std::mt19937_64& rng)
{
    context in{rack,   request, model,
               limits, now,     measure_share(rack, model, limits, now),
               {}};
    in.score =
        detail::make_score_input(model, request, run_estimate(model, request));
    placement_decision decision;
    if (!fits_some_target(in))
    {
        decision.never_fits = true;
        decision.reason = "larger than every target of the rack";
        return decision;
    }
    const resources usual =
        rack.targets.empty()
            ? request.size
            : reservation_for(model, request, rack.targets.front().capacity);
    const std::string gate = share_obstacle(in.share, limits, request, usual);
    const std::vector<double> loads = consider_targets(decision, in, gate);
    const std::size_t best = pick(in, decision, loads, rng);
    if (best < rack.targets.size())
    {
        set_place(decision, in, best, 0);
        decision.reason = "lowest predicted cost";
        return decision;
    }
    if (!request.may_evict)
    {
        set_wait_or_reject(decision, in, "no room without an eviction");
        decision.kind = placement_kind::reject;
    }
    else if (!try_evictions(decision, in, gate))
    {
        set_wait_or_reject(decision, in,
                           gate.empty() ? "no target has room" : gate);
    }
    return decision;
}

} // namespace egretspindle
