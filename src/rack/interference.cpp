#include "egretspindle/rack/interference.hpp"

#include "egretspindle/core/rendezvous_hash.hpp"

#include "company.hpp"

#include <algorithm>

namespace egretspindle
{

namespace
{

// Processors that serving tasks reserve and leave unused on average, as a
// share of their reservation. Their load swings around 0.45.
constexpr double unused_share = 0.55;
// Headroom 1 means that a response time is at its target; company may take a
// serving task down to this.
constexpr double lowest_joined = 1.1;
// Headroom that harmful company has to leave beyond that: users' load may rise
// while it works.
constexpr double harmful_margin = 0.4;
// Most tasks on idle processors end within this time; their own load can take
// serving tasks further down in the meantime.
constexpr double join_horizon_s = 2.0;
// Above the processors of any target.
constexpr std::int64_t preference = 1'000'000;

bool harms_nobody(const target_mix& mix, const interference_model& model,
                  const image_name& backfill)
{
    return std::none_of(mix.spare_headroom.begin(), mix.spare_headroom.end(),
                        [&](const auto& item) {
                            return is_harmful_pair(model, item.first, backfill);
                        });
}

// The owners of racks and jobs keep the same targets for an image, and as the
// share grows, those that were kept before.
bool is_kept_for(const interference_model& model, const std::string& image,
                 const std::string& target)
{
    constexpr double whole = 18446744073709551616.0; // 2^64
    const auto it = model.reserved_shares.find(image);
    if (it == model.reserved_shares.end())
    {
        return false;
    }
    const std::uint64_t rank = stable_hash(target, stable_hash(image));
    return static_cast<double>(rank) < it->second * whole || it->second >= 1.0;
}

// Rates a target by the hardest image that can work there without harm, and by
// the hardest of those that it is kept for.
void rate_scarcity(target_mix& mix, const interference_model& model,
                   const std::string& target_id)
{
    for (const auto& [image, hardness] : model.hardness)
    {
        const bool is_waiting = is_kept_for(model, image, target_id);
        const double rated = is_waiting ? mix.reserved : mix.scarcity;
        if (hardness > rated && harms_nobody(mix, model, image))
        {
            mix.scarcity = std::max(mix.scarcity, hardness);
            mix.reserved = is_waiting ? hardness : mix.reserved;
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
        return model.low_headroom;
    }
    const double ahead =
        run.own_headroom + std::min(0.0, run.headroom_trend) * join_horizon_s;
    return std::max(ahead, std::min(run.own_headroom, model.low_headroom));
}

std::int64_t idle_cpu(const target_mix& mix, const task_size& room) noexcept
{
    return room.cpu_milli + mix.unused_milli - mix.idle_users_milli;
}

void take_spare(target_mix& mix, const interference_model& model,
                const image_name& backfill, double cores)
{
    for (auto& [image, spare_headroom] : mix.spare_headroom)
    {
        spare_headroom -= expected_drop(model, image, backfill, cores);
    }
}

target_mix mix_of(const rack_target& target, const interference_model& model)
{
    target_mix mix;
    for (const auto& [id, run] : target.runs)
    {
        if (is_serving(run))
        {
            mix.unused_milli += static_cast<std::int64_t>(
                unused_share * static_cast<double>(run.terms->size.cpu_milli));
            const double spare_headroom =
                predicted_headroom(run, model) - lowest_joined;
            const auto it =
                mix.spare_headroom.emplace(run.terms->image, spare_headroom)
                    .first;
            it->second = std::min(it->second, spare_headroom);
        }
    }
    for (const auto& [id, run] : target.runs)
    {
        if (run.terms && !is_serving(run) && !is_backfill(run))
        {
            mix.unused_milli += run.terms->size.cpu_milli - used_milli(run);
        }
        if (is_backfill(run))
        {
            mix.idle_users_milli += used_milli(run);
            take_spare(mix, model, run.terms->image, current_cores(run));
        }
    }
    rate_scarcity(mix, model, target.entry.id);
    return mix;
}

bool is_harmful(const step_terms& terms, const target_mix& mix,
                const interference_model& model)
{
    return !harms_nobody(mix, model, terms.image);
}

idle_obstacle find_idle_obstacle(const target_mix& mix, const step_terms& terms,
                                 const task_size& room,
                                 const interference_model& model)
{
    if (idle_cpu(mix, room) < terms.size.cpu_milli)
    {
        return idle_obstacle::processors;
    }
    if (hardness_of(model, terms.image) < mix.reserved)
    {
        return idle_obstacle::reserved;
    }
    const bool has_headroom = std::all_of(
        mix.spare_headroom.begin(), mix.spare_headroom.end(),
        [&](const auto& item)
        {
            const double drop =
                expected_drop(model, item.first, terms.image, cores_of(terms));
            const double margin =
                is_harmful_pair(model, item.first, terms.image) ? harmful_margin
                                                                : 0.0;
            return drop + margin <= item.second;
        });
    return has_headroom ? idle_obstacle::none : idle_obstacle::headroom;
}

bool finds_idle_cpu(const target_mix& mix, const step_terms& terms,
                    const task_size& room, const interference_model& model)
{
    return find_idle_obstacle(mix, terms, room, model) == idle_obstacle::none;
}

std::int64_t rate_company(const target_mix& mix, const step_terms& terms,
                          const task_size& room,
                          const interference_model& model)
{
    const std::int64_t idle = idle_cpu(mix, room);
    if (is_harmful(terms, mix, model))
    {
        return idle;
    }
    const double preferred = 2.0 - mix.scarcity;
    return idle + static_cast<std::int64_t>(preferred *
                                            static_cast<double>(preference));
}

} // namespace egretspindle
