#include "target_score.hpp"

#include "model_access.hpp"

#include <algorithm>

namespace egretspindle::detail
{

namespace
{

// Weight of the slowdown of running urgent tasks, relative to the own run time.
constexpr double urgent_slowdown_weight = 1;
// Weight of the slowdown of running batch tasks, for a batch request.
constexpr double batch_slowdown_weight = 0.3;
// Weight of the slowdown that a batch task causes to future urgent tasks.
// Higher than the batch terms, so that batch work that slows urgent work is
// packed onto few targets.
constexpr double future_slowdown_weight = 4;
// Slowdown at which the expected urgent work on a target is halved.
constexpr double halving_slowdown = 0.15;

constexpr std::size_t max_urgent_kinds = 6;

/// Returns the total slowdown that one more task of `kind` causes to the
/// running urgent or batch tasks.
double caused_slowdown(const policy_model& model, std::size_t kind,
                       const load_snapshot& co_running, bool to_urgent,
                       time_point now)
{
    double sum = 0;
    for (const auto& [other, count] : co_running.counts)
    {
        if (other < model.kinds.size() &&
            model.kinds[other].urgent == to_urgent)
        {
            sum +=
                count * slowdown_by(model, other, kind, co_running.load, now);
        }
    }
    return sum;
}

/// Returns the slowdown that one more task of the request's kind causes to the
/// average urgent task.
double future_urgent_slowdown(const score_input& input,
                              const policy_model& model, double load,
                              time_point now)
{
    double sum = 0;
    for (const urgent_share& entry : input.urgent_kinds)
    {
        sum +=
            entry.share * slowdown_by(model, entry.kind, input.kind, load, now);
    }
    return sum;
}

} // namespace

score_input make_score_input(const policy_model& model,
                             const task_request& request, double run_ms)
{
    score_input input;
    input.kind = kind_index(model, request.kind);
    input.urgent = request.urgent;
    input.run_ms = run_ms;
    double total = 0;
    for (const double rate : model.urgent_rate)
    {
        total += rate;
    }
    for (std::size_t n = 1; n < model.urgent_rate.size(); ++n)
    {
        if (model.urgent_rate[n] > 0.02 * total)
        {
            input.urgent_kinds.push_back({n, model.urgent_rate[n] / total});
        }
    }
    // Only the most frequent kinds are used; others would only cost time.
    std::sort(input.urgent_kinds.begin(), input.urgent_kinds.end(),
              [](const urgent_share& lhs, const urgent_share& rhs)
              { return lhs.share > rhs.share; });
    input.urgent_kinds.resize(
        std::min(input.urgent_kinds.size(), max_urgent_kinds));
    return input;
}

double urgent_slowdown(const score_input& input, const policy_model& model,
                       const load_snapshot& co_running, time_point now)
{
    double sum = 0;
    for (const urgent_share& entry : input.urgent_kinds)
    {
        sum +=
            entry.share * predict_slowdown(model, entry.kind, co_running, now);
    }
    return sum;
}

double predicted_run(const score_input& input, const policy_model& model,
                     const load_snapshot& co_running, time_point now)
{
    return input.run_ms *
           (1 + predict_slowdown(model, input.kind, co_running, now));
}

double score_of(const score_input& input, const policy_model& model,
                const load_snapshot& co_running, double current_urgent_slowdown,
                time_point now)
{
    const double own_slowdown =
        predict_slowdown(model, input.kind, co_running, now);
    const double running_urgent_slowdown =
        caused_slowdown(model, input.kind, co_running, true, now) *
        urgent_slowdown_weight;
    if (input.urgent)
    {
        return input.run_ms * (1 + own_slowdown + running_urgent_slowdown);
    }
    const double relative_slowdown = current_urgent_slowdown / halving_slowdown;
    const double future_slowdown =
        future_slowdown_weight *
        (future_urgent_slowdown(input, model, co_running.load, now) + 0.02) /
        (1 + relative_slowdown);
    const double running_batch_slowdown =
        caused_slowdown(model, input.kind, co_running, false, now) *
        batch_slowdown_weight;
    return input.run_ms * (1 + own_slowdown + running_batch_slowdown +
                           running_urgent_slowdown + future_slowdown);
}

} // namespace egretspindle::detail
