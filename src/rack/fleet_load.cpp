#include "egretspindle/rack/fleet_load.hpp"

#include "egretspindle/core/rendezvous_hash.hpp"
#include "egretspindle/rack/interference.hpp"

#include <algorithm>
#include <limits>
#include <set>

namespace egretspindle
{

namespace
{

// Time from the choice of a rack until its owner has queued the start: the
// record of the assignment and one message. Reports that arrive later show it.
constexpr milliseconds placement_transit{300};
// Share of the processors that tasks that last leave to short ones. Urgent
// short tasks of the users take 5% on average and twice that in bursts.
constexpr std::int64_t short_percent = 8;

/// Room of one target, less what this host has placed since its report.
struct candidate
{
    const target_entry* entry = nullptr;
    task_size room;
    target_mix mix;
    std::int64_t taken_by_step = 0;
};

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

bool matches(const target_entry& entry, const step_terms& terms)
{
    const bool has_label =
        terms.required_label.empty() ||
        std::find(entry.labels.begin(), entry.labels.end(),
                  terms.required_label) != entry.labels.end();
    return has_label && entry.service == terms.service && !entry.is_draining;
}

void add_company(const fleet_load& fleet, candidate& item,
                 const image_name& image, std::int64_t cpu_milli)
{
    constexpr double milli_per_core = 1'000.0;
    item.mix.idle_users_milli += cpu_milli;
    take_spare(item.mix, fleet.pressures, image,
               static_cast<double>(cpu_milli) / milli_per_core);
}

// Hundreds of placements are recent under load, and a search for those of each
// target compared its name with all of them.
using recent_by_target = std::vector<const recent_placement*>;

bool is_before(const recent_placement* lhs, const recent_placement* rhs)
{
    return lhs->target < rhs->target;
}

recent_by_target sort_recent(const fleet_load& fleet)
{
    recent_by_target sorted;
    sorted.reserve(fleet.recent.size());
    for (const recent_placement& item : fleet.recent)
    {
        if (!item.target.empty())
        {
            sorted.push_back(&item);
        }
    }
    std::stable_sort(sorted.begin(), sorted.end(), is_before);
    return sorted;
}

// Takes what this host has placed on a target off its room.
void subtract_recent(const fleet_load& fleet, const recent_by_target& recent,
                     candidate& item)
{
    const std::string& id = item.entry->id;
    auto it = std::lower_bound(
        recent.begin(), recent.end(), id,
        [](const recent_placement* placed, const std::string& target)
        { return placed->target < target; });
    for (; it != recent.end() && (*it)->target == id; ++it)
    {
        subtract_from(item.room, (*it)->size);
        add_company(fleet, item, (*it)->image, (*it)->idle_users_milli);
    }
}

std::vector<candidate> candidates_of(const fleet_load& fleet,
                                     const recent_by_target& recent,
                                     const rack_view& view,
                                     const step_terms& terms, time_point now)
{
    std::vector<candidate> found;
    if (!is_recent(fleet, view, now))
    {
        return found;
    }
    for (const target_room& room : view.room.targets)
    {
        const auto entry = fleet.targets.find(room.id);
        if (!room.is_open || entry == fleet.targets.end() ||
            !matches(entry->second, terms))
        {
            continue;
        }
        candidate item;
        item.entry = &entry->second;
        item.room = room.room;
        item.mix.idle_users_milli = room.idle_users_milli;
        item.mix.unused_milli = room.unused_milli;
        item.mix.spare = room.spare;
        item.mix.scarcity = room.scarcity;
        item.mix.reserved = room.reserved;
        subtract_recent(fleet, recent, item);
        found.push_back(std::move(item));
    }
    return found;
}

bool is_suitable(const fleet_load& fleet, const candidate& item,
                 const step_terms& terms)
{
    if (!fits(reservation_of(terms), item.room) ||
        (terms.max_per_target > 0 &&
         item.taken_by_step >= terms.max_per_target))
    {
        return false;
    }
    return !terms.uses_idle_cpu ||
           finds_idle_cpu(item.mix, terms, item.room, fleet.pressures);
}

// Tasks on idle processors go where they disturb nobody, and keep off targets
// that images with few such places need.
std::int64_t weight_of(const fleet_load& fleet, const candidate& item,
                       const step_terms& terms)
{
    constexpr double preferred_weight = 40.0;
    const std::int64_t idle =
        std::max<std::int64_t>(1, idle_cpu(item.mix, item.room));
    if (!terms.uses_idle_cpu || is_harmful(terms, item.mix, fleet.pressures))
    {
        return idle;
    }
    const double use = 1.1 - item.mix.scarcity;
    return static_cast<std::int64_t>(preferred_weight * use * use *
                                     static_cast<double>(idle)) +
           1;
}

candidate* best_of(const fleet_load& fleet, std::vector<candidate>& items,
                   const step_terms& terms)
{
    candidate* best = nullptr;
    std::int64_t best_weight = 0;
    for (candidate& item : items)
    {
        if (!is_suitable(fleet, item, terms))
        {
            continue;
        }
        const std::int64_t weight = weight_of(fleet, item, terms);
        if (best == nullptr || weight > best_weight)
        {
            best = &item;
            best_weight = weight;
        }
    }
    return best;
}

/// Rack with its candidates.
struct option
{
    std::string rack;
    std::vector<candidate> targets;
    std::int64_t free_cpu = 0;
};

std::vector<option> options_of(const fleet_load& fleet, const step_terms& terms,
                               time_point now)
{
    std::vector<option> options;
    const recent_by_target recent = sort_recent(fleet);
    for (const auto& [name, view] : fleet.racks)
    {
        if (name == terms.earlier_rack)
        {
            continue;
        }
        option item;
        item.rack = name;
        item.targets = candidates_of(fleet, recent, view, terms, now);
        for (const candidate& target : item.targets)
        {
            if (is_suitable(fleet, target, terms))
            {
                item.free_cpu += weight_of(fleet, target, terms);
            }
        }
        if (item.free_cpu > 0)
        {
            options.push_back(std::move(item));
        }
    }
    return options;
}

// Draws an option in proportion to its free processors.
std::size_t draw(const std::vector<option>& options, std::minstd_rand& random)
{
    std::int64_t total = 0;
    for (const option& item : options)
    {
        total += item.free_cpu;
    }
    std::uniform_int_distribution<std::int64_t> any(0, total - 1);
    std::int64_t left = any(random);
    for (std::size_t n = 0; n < options.size(); ++n)
    {
        left -= options[n].free_cpu;
        if (left < 0)
        {
            return n;
        }
    }
    return options.size() - 1;
}

// All hosts name the same racks for an image, so that its serving tasks share
// targets, and each target serves few images. Tasks on idle processors then
// find targets where they disturb nobody.
std::size_t choose_by_image(const std::vector<option>& options,
                            const std::string& image)
{
    std::vector<std::string> racks;
    racks.reserve(options.size());
    for (const option& item : options)
    {
        racks.push_back(item.rack);
    }
    return rendezvous_choice(image, racks);
}

std::size_t choose_option(const std::vector<option>& options,
                          const step_terms& terms, const std::string& data_rack,
                          std::minstd_rand& random)
{
    for (std::size_t n = 0; n < options.size(); ++n)
    {
        if (options[n].rack == data_rack)
        {
            return n;
        }
    }
    if (terms.response_target_ms > 0 && !terms.image.empty())
    {
        return choose_by_image(options, terms.image);
    }
    return draw(options, random);
}

bool can_ever_take(const target_entry& entry, const step_terms& terms)
{
    return matches(entry, terms) && fits(reservation_of(terms), entry.capacity);
}

// Rack with the shortest queue for its size, among those that can take the
// task at some time.
std::string shortest_queue(const fleet_load& fleet, const step_terms& terms,
                           time_point now)
{
    std::map<std::string, std::int64_t> capacity;
    for (const auto& [id, entry] : fleet.targets)
    {
        if (can_ever_take(entry, terms))
        {
            capacity[entry.rack] += entry.capacity.cpu_milli + 1;
        }
    }
    std::string best;
    double best_load = std::numeric_limits<double>::max();
    for (const auto& [rack, cpu] : capacity)
    {
        const auto view = fleet.racks.find(rack);
        if (view == fleet.racks.end() || !is_recent(fleet, view->second, now))
        {
            continue;
        }
        std::int64_t wanted = view->second.room.queued_cpu_milli;
        for (const recent_placement& recent : fleet.recent)
        {
            if (recent.rack == rack)
            {
                wanted += recent.size.cpu_milli + recent.idle_users_milli;
            }
        }
        const double load =
            static_cast<double>(wanted) / static_cast<double>(cpu);
        if (load < best_load)
        {
            best_load = load;
            best = rack;
        }
    }
    return best;
}

void forget_old(fleet_load& fleet, time_point now)
{
    fleet.recent.erase(std::remove_if(fleet.recent.begin(), fleet.recent.end(),
                                      [&](const recent_placement& item)
                                      { return is_shown(fleet, item, now); }),
                       fleet.recent.end());
}

void remember(fleet_load& fleet, const step_terms& terms,
              const std::string& rack, const std::string& target,
              time_point now)
{
    recent_placement item;
    item.rack = rack;
    item.target = target;
    item.size = reservation_of(terms);
    item.idle_users_milli = terms.uses_idle_cpu ? terms.size.cpu_milli : 0;
    item.image = terms.uses_idle_cpu ? terms.image : image_name();
    item.at = now;
    fleet.recent.push_back(std::move(item));
}

} // namespace

bool note_life(fleet_load& fleet, const std::string& host, std::int64_t boot)
{
    std::int64_t& known = fleet.lives[host];
    const bool is_new = known != boot;
    known = boot;
    return is_new;
}

void note_rooms(fleet_load& fleet, std::vector<rack_room>& rooms,
                time_point now)
{
    for (rack_room& room : rooms)
    {
        rack_view& view = fleet.racks[room.rack];
        std::swap(view.room, room);
        view.reported_at = now;
    }
}

std::set<std::string> waiting_images(const fleet_load& fleet, time_point now)
{
    std::set<std::string> images;
    for (const auto& [name, view] : fleet.racks)
    {
        if (is_recent(fleet, view, now))
        {
            images.insert(view.room.waiting.begin(), view.room.waiting.end());
        }
    }
    return images;
}

std::vector<std::string> choose_racks(fleet_load& fleet,
                                      const step_terms& terms,
                                      std::size_t count,
                                      const std::string& data_rack,
                                      time_point now, std::minstd_rand& random)
{
    forget_old(fleet, now);
    std::vector<std::string> chosen;
    std::vector<option> options = options_of(fleet, terms, now);
    while (chosen.size() < count && !options.empty())
    {
        const std::size_t n = choose_option(options, terms, data_rack, random);
        option& item = options[n];
        candidate* target = best_of(fleet, item.targets, terms);
        while (chosen.size() < count && target != nullptr)
        {
            subtract_from(target->room, reservation_of(terms));
            if (terms.uses_idle_cpu)
            {
                add_company(fleet, *target, terms.image, terms.size.cpu_milli);
            }
            ++target->taken_by_step;
            remember(fleet, terms, item.rack, target->entry->id, now);
            chosen.push_back(item.rack);
            target = best_of(fleet, item.targets, terms);
        }
        options.erase(options.begin() + static_cast<std::ptrdiff_t>(n));
        if (terms.is_gang)
        {
            break;
        }
    }
    while (chosen.size() < count)
    {
        chosen.push_back(shortest_queue(fleet, terms, now));
        if (!chosen.back().empty())
        {
            remember(fleet, terms, chosen.back(), "", now);
        }
    }
    return chosen;
}

bool has_room_to_last(const fleet_load& fleet, const std::string& service,
                      std::int64_t cpu_milli, time_point now)
{
    std::int64_t capacity = 0;
    std::int64_t reported = 0;
    std::int64_t free = 0;
    for (const auto& [id, entry] : fleet.targets)
    {
        capacity += entry.service == service ? entry.capacity.cpu_milli : 0;
    }
    for (const auto& [name, view] : fleet.racks)
    {
        if (!is_recent(fleet, view, now))
        {
            continue;
        }
        for (const target_room& room : view.room.targets)
        {
            const auto it = fleet.targets.find(room.id);
            if (it != fleet.targets.end() && it->second.service == service)
            {
                reported += it->second.capacity.cpu_milli;
                free += std::max<std::int64_t>(0, room.room.cpu_milli);
            }
        }
    }
    for (const recent_placement& item : fleet.recent)
    {
        free -= item.size.cpu_milli;
    }
    const bool is_known = reported * 4 >= capacity * 3;
    return !is_known || (free - cpu_milli) * 100 >= capacity * short_percent;
}

bool has_room_elsewhere(const fleet_load& fleet, const step_terms& terms,
                        const std::string& rack, time_point now)
{
    for (const option& item : options_of(fleet, terms, now))
    {
        if (item.rack != rack)
        {
            return true;
        }
    }
    return false;
}

} // namespace egretspindle
