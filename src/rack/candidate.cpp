#include "candidate.hpp"

#include <algorithm>

namespace egretspindle
{

namespace
{

constexpr double milli_per_core = 1'000.0;

void add_company(const pressure_model& model, candidate& item,
                 const std::string& image, std::int64_t cpu_milli)
{
    item.mix.idle_users_milli += cpu_milli;
    take_spare(item.mix, model, image,
               static_cast<double>(cpu_milli) / milli_per_core);
}

} // namespace

// A rack whose owner has not reported lately is not trusted to be free.
bool is_recent(const fleet_load& fleet, const rack_view& view, time_point now)
{
    return now - view.reported_at <= report_age(fleet.period);
}

// Reports come at different ages, so a placement counts until one of its rack
// can show it, and not for a fixed time.
bool is_shown(const fleet_load& fleet, const recent_placement& item,
              time_point now)
{
    const auto view = fleet.racks.find(item.rack);
    const bool is_reported =
        view != fleet.racks.end() &&
        view->second.reported_at >= item.at + placement_transit;
    return is_reported || now - item.at > report_age(fleet.period);
}

recent_index index_recent(const fleet_load& fleet, time_point now)
{
    recent_index index;
    for (const recent_placement& item : fleet.recent)
    {
        if (!is_shown(fleet, item, now))
        {
            index.by_target[item.target].push_back(&item);
            index.cpu_by_rack[item.rack] +=
                item.size.cpu_milli + item.idle_users_milli;
        }
    }
    return index;
}

bool matches(const target_entry& entry, const step_terms& terms)
{
    const bool has_label =
        terms.required_label.empty() ||
        std::find(entry.labels.begin(), entry.labels.end(),
                  terms.required_label) != entry.labels.end();
    return has_label && entry.service == terms.service && !entry.is_draining;
}

candidate make_candidate(const fleet_load& fleet, const recent_index& recent,
                         const target_room& room, const target_entry& entry)
{
    candidate item;
    item.entry = &entry;
    item.room = room.room;
    item.mix.idle_users_milli = room.idle_users_milli;
    item.mix.unused_milli = room.unused_milli;
    item.mix.spare = room.spare;
    item.mix.scarcity = room.scarcity;
    item.mix.reserved = room.reserved;
    const auto placed = recent.by_target.find(room.id);
    if (placed != recent.by_target.end())
    {
        for (const recent_placement* next : placed->second)
        {
            subtract_from(item.room, next->size);
            add_company(fleet.pressures, item, next->image,
                        next->idle_users_milli);
        }
    }
    return item;
}

bool is_suitable(const pressure_model& model, const candidate& item,
                 const step_terms& terms)
{
    if (!fits(reservation_of(terms), item.room) ||
        (terms.max_per_target > 0 &&
         item.taken_by_step >= terms.max_per_target))
    {
        return false;
    }
    return !terms.uses_idle_cpu ||
           finds_idle_cpu(item.mix, terms, item.room, model);
}

// Tasks on idle processors go where they disturb nobody, and keep off targets
// that images with few such places need.
std::int64_t weight_of(const pressure_model& model, const candidate& item,
                       const step_terms& terms)
{
    constexpr double preferred_weight = 40.0;
    const std::int64_t idle =
        std::max<std::int64_t>(1, idle_cpu(item.mix, item.room));
    if (!terms.uses_idle_cpu || is_harmful(terms, item.mix, model))
    {
        return idle;
    }
    const double use = 1.1 - item.mix.scarcity;
    return static_cast<std::int64_t>(preferred_weight * use * use *
                                     static_cast<double>(idle)) +
           1;
}

candidate* best_of(const pressure_model& model, std::vector<candidate>& items,
                   const step_terms& terms)
{
    candidate* best = nullptr;
    for (candidate& item : items)
    {
        if (is_suitable(model, item, terms) &&
            (best == nullptr ||
             weight_of(model, item, terms) > weight_of(model, *best, terms)))
        {
            best = &item;
        }
    }
    return best;
}

void take_room(const pressure_model& model, candidate& item,
               const step_terms& terms)
{
    subtract_from(item.room, reservation_of(terms));
    if (terms.uses_idle_cpu)
    {
        add_company(model, item, terms.image, terms.size.cpu_milli);
    }
    ++item.taken_by_step;
}

} // namespace egretspindle
