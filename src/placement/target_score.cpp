#include "target_score.hpp"

#include "model_access.hpp"

#include <algorithm>

namespace egretspindle::detail
{

namespace
{

// Weight of the slowdown of running urgent tasks, relative to the own run time.
constexpr double urgent_harm_weight = 1;
// Weight of the slowdown of running batch tasks, for a batch request.
constexpr double batch_harm_weight = 0.3;
// Weight of the slowdown that a batch task causes to future urgent tasks.
// Higher than the batch terms, so that batch work that slows urgent work is
// packed onto few targets.
constexpr double future_harm_weight = 4;
// Slowdown at which the expected urgent work on a target is halved.
constexpr double avoided_slowdown = 0.15;

constexpr std::size_t max_urgent_kinds = 6;

/// Returns the total slowdown that one more task of `kind` causes to the
/// running urgent or batch tasks.
double harm(const policy_model& model, std::size_t kind,
            const load_snapshot& beside, bool to_urgent, time_point now)
{
    double sum = 0;
    for (const auto& [other, count] : beside.counts)
    {
        if (other < model.kinds.size() &&
            model.kinds[other].urgent == to_urgent)
        {
            sum += count * slowdown_by(model, other, kind, beside.load, now);
        }
    }
    return sum;
}

/// Returns the slowdown that one more task of the request's kind causes to the
/// average urgent task.
double urgent_increment(const score_input& input, const policy_model& model,
                        double load, time_point now)
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
                       const load_snapshot& beside, time_point now)
{
    double sum = 0;
    for (const urgent_share& entry : input.urgent_kinds)
    {
        sum += entry.share * predict_slowdown(model, entry.kind, beside, now);
    }
    return sum;
}

double predicted_run(const score_input& input, const policy_model& model,
                     const load_snapshot& beside, time_point now)
{
    return input.run_ms *
           (1 + predict_slowdown(model, input.kind, beside, now));
}

double score_of(const score_input& input, const policy_model& model,
                const load_snapshot& beside, double slowdown_of_urgent,
                time_point now)
{
    const double own = predict_slowdown(model, input.kind, beside, now);
    const double urgent_harm =
        harm(model, input.kind, beside, true, now) * urgent_harm_weight;
    if (input.urgent)
    {
        return input.run_ms * (1 + own + urgent_harm);
    }
    const double avoided = slowdown_of_urgent / avoided_slowdown;
    const double future =
        future_harm_weight *
        (urgent_increment(input, model, beside.load, now) + 0.02) /
        (1 + avoided);
    const double batch_harm =
        harm(model, input.kind, beside, false, now) * batch_harm_weight;
    return input.run_ms * (1 + own + batch_harm + urgent_harm + future);
}

} // namespace egretspindle::detail
