#include "egretspindle/rack/interference.hpp"

#include "egretspindle/core/rendezvous_hash.hpp"

#include "run_colocation.hpp"

#include <algorithm>

namespace egretspindle
{

namespace
{

// Share of their reserved processors that serving tasks leave unused on
// average. Their load varies around 0.45.
constexpr double unused_share = 0.55;
// Headroom that backfill tasks have to leave to a serving task. At 1 the
// response time is exactly at its target.
constexpr double min_serving_headroom = 1.1;
// Additional headroom that a harmful backfill task has to leave to the serving
// tasks it harms, since the load of the users may rise while it runs.
constexpr double harmful_margin = 0.4;
// Time over which the trend of the headroom is extrapolated. Most backfill
// tasks end within it, and the load of the users can rise in the meantime.
constexpr double prediction_horizon_s = 2.0;
// Larger than the processors of any target in thousandths of a core, so that it
// decides first.
constexpr std::int64_t harmless_bonus = 1'000'000;

bool harms_no_serving_image(const colocation_summary& colocation,
                            const interference_model& model,
                            const image_name& backfill)
{
    return std::none_of(colocation.spare_headroom.begin(),
                        colocation.spare_headroom.end(),
                        [&](const auto& item) {
                            return is_harmful_pair(model, item.first, backfill);
                        });
}

// Returns whether a target is reserved for an image. Selects targets by a hash
// of both names, so that the owners of racks and jobs reserve the same ones,
// and a larger share includes all targets of a smaller one.
bool is_reserved_for(const interference_model& model, const std::string& image,
                     const std::string& target)
{
    constexpr double hash_range = 18446744073709551616.0; // 2^64
    const auto it = model.reserved_shares.find(image);
    if (it == model.reserved_shares.end())
    {
        return false;
    }
    const std::uint64_t rank = stable_hash(target, stable_hash(image));
    return static_cast<double>(rank) < it->second * hash_range ||
           it->second >= 1.0;
}

// Sets `scarcity` to the highest harmed share of the images that harm no
// serving task of the target, and `reserved` to that of the ones it is reserved
// for.
void set_scarcity(colocation_summary& colocation,
                  const interference_model& model, const std::string& target_id)
{
    for (const auto& [image, harmed_share] : model.harmed_share)
    {
        const bool is_waiting = is_reserved_for(model, image, target_id);
        const double known_share =
            is_waiting ? colocation.reserved : colocation.scarcity;
        if (harmed_share > known_share &&
            harms_no_serving_image(colocation, model, image))
        {
            colocation.scarcity = std::max(colocation.scarcity, harmed_share);
            colocation.reserved =
                is_waiting ? harmed_share : colocation.reserved;
        }
    }
}

} // namespace

std::int64_t used_milli(const placed_run& run)
{
    const std::int64_t declared = run.terms->size.cpu_milli;
    if (!run.is_confirmed || run.load <= 0 || run.percent <= 0)
    {
        return declared;
    }
    return std::clamp(run.load * 100 / run.percent, declared / 2, declared);
}

double predicted_headroom(const placed_run& run,
                          const interference_model& model)
{
    if (run.own_headroom <= 0)
    {
        return model.baseline_headroom_p5;
    }
    const double extrapolated =
        run.own_headroom +
        std::min(0.0, run.headroom_trend) * prediction_horizon_s;
    return std::max(extrapolated,
                    std::min(run.own_headroom, model.baseline_headroom_p5));
}

std::int64_t idle_cpu(const colocation_summary& colocation,
                      const task_size& room) noexcept
{
    return room.cpu_milli + colocation.unused_milli - colocation.backfill_milli;
}

void subtract_spare_headroom(colocation_summary& colocation,
                             const interference_model& model,
                             const image_name& backfill, double cores)
{
    for (auto& [image, spare_headroom] : colocation.spare_headroom)
    {
        spare_headroom -= expected_headroom_drop(model, image, backfill, cores);
    }
}

colocation_summary summarize_colocation(const rack_target& target,
                                        const interference_model& model)
{
    colocation_summary colocation;
    for (const auto& [id, run] : target.runs)
    {
        if (is_serving(run))
        {
            colocation.unused_milli += static_cast<std::int64_t>(
                unused_share * static_cast<double>(run.terms->size.cpu_milli));
            const double spare_headroom =
                predicted_headroom(run, model) - min_serving_headroom;
            const auto it = colocation.spare_headroom
                                .emplace(run.terms->image, spare_headroom)
                                .first;
            it->second = std::min(it->second, spare_headroom);
        }
    }
    for (const auto& [id, run] : target.runs)
    {
        if (run.terms && !is_serving(run) && !is_backfill(run))
        {
            colocation.unused_milli +=
                run.terms->size.cpu_milli - used_milli(run);
        }
        if (is_backfill(run))
        {
            colocation.backfill_milli += used_milli(run);
            subtract_spare_headroom(colocation, model, run.terms->image,
                                    current_cores(run));
        }
    }
    set_scarcity(colocation, model, target.entry.id);
    return colocation;
}

bool is_harmful(const step_terms& terms, const colocation_summary& colocation,
                const interference_model& model)
{
    return !harms_no_serving_image(colocation, model, terms.image);
}

backfill_rejection find_backfill_rejection(const colocation_summary& colocation,
                                           const step_terms& terms,
                                           const task_size& room,
                                           const interference_model& model)
{
    if (idle_cpu(colocation, room) < terms.size.cpu_milli)
    {
        return backfill_rejection::processors;
    }
    if (harmed_share_of(model, terms.image) < colocation.reserved)
    {
        return backfill_rejection::reserved;
    }
    const std::optional<headroom_check> tightest =
        find_tightest_headroom(colocation, terms, model);
    return !tightest || tightest->required <= tightest->spare
               ? backfill_rejection::none
               : backfill_rejection::headroom;
}

std::optional<headroom_check>
find_tightest_headroom(const colocation_summary& colocation,
                       const step_terms& terms, const interference_model& model)
{
    std::optional<headroom_check> tightest;
    for (const auto& [image, spare] : colocation.spare_headroom)
    {
        const double drop =
            expected_headroom_drop(model, image, terms.image, cores_of(terms));
        const double margin =
            is_harmful_pair(model, image, terms.image) ? harmful_margin : 0.0;
        const headroom_check item{image, drop + margin, spare};
        if (!tightest || surplus_of(item) < surplus_of(*tightest))
        {
            tightest = item;
        }
    }
    return tightest;
}

bool can_take_backfill(const colocation_summary& colocation,
                       const step_terms& terms, const task_size& room,
                       const interference_model& model)
{
    return find_backfill_rejection(colocation, terms, room, model) ==
           backfill_rejection::none;
}

std::int64_t rate_backfill_target(const colocation_summary& colocation,
                                  const step_terms& terms,
                                  const task_size& room,
                                  const interference_model& model)
{
    const std::int64_t idle = idle_cpu(colocation, room);
    if (is_harmful(terms, colocation, model))
    {
        return idle;
    }
    const double preferred = 2.0 - colocation.scarcity;
    return idle + static_cast<std::int64_t>(
                      preferred * static_cast<double>(harmless_bonus));
}

} // namespace egretspindle
