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

// Fraction of the batch decisions that choose any target within
// `explore_bound`, to learn about pairs of kinds that the policy would
// otherwise never try again.
constexpr double explore_share = 0.01;
// A target is explored only if its score is at most this multiple of the best.
constexpr double explore_bound = 1.3;
// Scores within this factor of the best count as equal, and the least loaded of
// these targets is chosen. Prevents that noise in the estimates moves all work
// at once.
constexpr double tie_factor = 1.03;
// Time to checkpoint and stop a task before its slot can be used.
constexpr double eviction_ms = 200;
constexpr double default_run_ms = 1000;

/// Inputs of one decision that are the same for all targets.
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

/// Returns why a target cannot run the request now, or an empty string if it
/// can.
std::string infeasible_reason_of(const context& ctx, std::size_t index,
                                 const resources& reservation)
{
    const target_load& target = ctx.rack.targets[index];
    if (!accepts_work(target, ctx.request.urgent))
    {
        return target.leaving     ? "leaving"
               : target.reachable ? std::string(to_string(target.health_state))
                                  : "unreachable";
    }
    if (is_excluded(ctx.request, target.name))
    {
        return "excluded";
    }
    const int slots = free_slots(target);
    if (slots <= 0)
    {
        return "no slot or connection";
    }
    const resources free = free_capacity(ctx.model, target);
    if (!fits(reservation, free))
    {
        return fmt::format("free {:.1f} cores {:.0f} MB {} accelerators",
                           free.cpu_cores, free.memory_mb, free.accelerators);
    }
    if (!ctx.request.urgent &&
        !leaves_reserved_places(ctx.share, ctx.rack, index, free, reservation))
    {
        return "room kept for urgent work";
    }
    return {};
}

/// Returns the time in ms until a task on the target is expected to end.
double expected_wait_ms(const target_load& target, time_point now)
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
        // A task past its expected end is likely to run on for a time in
        // proportion to its run time so far.
        wait = std::min(wait, left > 0 ? left : 0.3 * elapsed + 1);
    }
    return wait;
}

double predicted_wait(const context& ctx)
{
    double wait = std::numeric_limits<double>::infinity();
    for (const target_load& target : ctx.rack.targets)
    {
        if (accepts_work(target, ctx.request.urgent) &&
            !is_excluded(ctx.request, target.name))
        {
            wait = std::min(wait, expected_wait_ms(target, ctx.now));
        }
    }
    return wait;
}

double remaining_ms(const context& ctx)
{
    if (!ctx.request.deadline)
    {
        return std::numeric_limits<double>::infinity();
    }
    return std::chrono::duration<double, std::milli>(*ctx.request.deadline -
                                                     ctx.now)
        .count();
}

bool fits_some_target(const context& ctx)
{
    for (const target_load& target : ctx.rack.targets)
    {
        if (fits(reservation_for(ctx.model, ctx.request, target.capacity),
                 target.capacity))
        {
            return true;
        }
    }
    return ctx.rack.targets.empty();
}

/// Returns the index of the least loaded of the targets within `tie_factor` of
/// the best score or, for `explore_share` of the batch requests, of a random
/// one within `explore_bound`. Returns the number of targets if none is
/// feasible.
std::size_t pick_target(const context& ctx, const placement_decision& decision,
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
                         (ctx.request.urgent ? 0 : explore_share);
    const double bound = lowest * (explore ? explore_bound : tie_factor);
    // Starts at a random target, so that owners with the same view choose
    // different ones.
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

void set_placement(placement_decision& decision, const context& ctx,
                   std::size_t index, double wait_ms)
{
    const target_load& target = ctx.rack.targets[index];
    decision.kind = placement_kind::place;
    decision.target = target.name;
    decision.reservation =
        reservation_for(ctx.model, ctx.request, target.capacity);
    decision.predicted_wait_ms = wait_ms;
    decision.predicted_run_ms = detail::predicted_run(
        ctx.score, ctx.model, ctx.share.tasks[index], ctx.now);
    decision.predicted_finish_ms = wait_ms + decision.predicted_run_ms;
}

void set_wait_or_reject(placement_decision& decision, const context& ctx,
                        std::string reason)
{
    decision.predicted_wait_ms = predicted_wait(ctx);
    decision.predicted_run_ms = ctx.score.run_ms;
    decision.predicted_finish_ms =
        decision.predicted_wait_ms + decision.predicted_run_ms;
    decision.reason = std::move(reason);
    const bool too_late =
        ctx.request.urgent && decision.predicted_finish_ms > remaining_ms(ctx);
    decision.kind = too_late ? placement_kind::reject : placement_kind::wait;
    if (too_late)
    {
        decision.reason += "; deadline cannot be met";
    }
    const double wait = std::min(decision.predicted_wait_ms, 30000.0);
    decision.retry_after_ms =
        std::max<std::int64_t>(100, static_cast<std::int64_t>(wait));
}

std::vector<double> score_targets(placement_decision& decision,
                                  const context& ctx,
                                  const std::string& block_reason)
{
    std::vector<double> loads;
    for (const target_load& target : ctx.rack.targets)
    {
        const std::size_t index = loads.size();
        placement_alternative entry;
        entry.target = target.name;
        const resources reservation =
            reservation_for(ctx.model, ctx.request, target.capacity);
        entry.infeasible_reason =
            block_reason.empty() ? infeasible_reason_of(ctx, index, reservation)
                                 : block_reason;
        if (entry.infeasible_reason.empty())
        {
            entry.score_ms =
                detail::score_of(ctx.score, ctx.model, ctx.share.tasks[index],
                                 ctx.share.urgent_slowdown[index], ctx.now);
        }
        loads.push_back(ctx.share.tasks[index].load);
        decision.alternatives.push_back(std::move(entry));
    }
    return loads;
}

bool try_evictions(placement_decision& decision, const context& ctx,
                   const std::string& block_reason)
{
    // A request that floors or quotas do not admit must not cause evictions.
    if (!block_reason.empty())
    {
        return false;
    }
    const detail::eviction_plan plan = detail::plan_evictions(
        ctx.rack, ctx.request, ctx.model, ctx.limits, ctx.share, ctx.now);
    if (plan.evictions.empty())
    {
        return false;
    }
    set_placement(decision, ctx, plan.target, eviction_ms);
    if (decision.predicted_finish_ms > remaining_ms(ctx))
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
    context ctx{rack,   request, model,
                limits, now,     compute_share(rack, model, limits, now),
                {}};
    ctx.score =
        detail::make_score_input(model, request, run_estimate(model, request));
    placement_decision decision;
    if (!fits_some_target(ctx))
    {
        decision.never_fits = true;
        decision.reason = "larger than every target of the rack";
        return decision;
    }
    const resources usual =
        rack.targets.empty()
            ? request.size
            : reservation_for(model, request, rack.targets.front().capacity);
    const std::string block_reason =
        admission_block_reason(ctx.share, limits, request, usual);
    const std::vector<double> loads =
        score_targets(decision, ctx, block_reason);
    const std::size_t best = pick_target(ctx, decision, loads, rng);
    if (best < rack.targets.size())
    {
        set_placement(decision, ctx, best, 0);
        decision.reason = "lowest predicted cost";
        return decision;
    }
    if (!request.may_evict)
    {
        set_wait_or_reject(decision, ctx, "no room without an eviction");
        decision.kind = placement_kind::reject;
    }
    else if (!try_evictions(decision, ctx, block_reason))
    {
        set_wait_or_reject(decision, ctx,
                           block_reason.empty() ? "no target has room"
                                                : block_reason);
    }
    return decision;
}

} // namespace egretspindle
