#include "egretspindle/rack/fleet_load.hpp"

#include "egretspindle/core/rendezvous_hash.hpp"

#include "candidate.hpp"

#include <algorithm>
#include <limits>
#include <set>
#include <string_view>

namespace egretspindle
{

namespace
{

// Share of the processors that tasks that last leave to short ones. Urgent
// short tasks of the users take 5% on average and twice that in bursts.
constexpr std::int64_t short_percent = 8;
// Other hosts choose by the same reports at the same time, so a rack that is
// given whole steps is overcommitted by whole steps. In a simulated burst of
// steps of 8 tasks to 90% of 43 hosts' fleet, 8.7% of the starts were handed
// back with whole steps and 4.3% with 3 tasks at once. Smaller parts cost more
// messages.
constexpr std::size_t most_at_once = 3;

/// Rack with its candidates.
struct option
{
    std::string rack;
    std::vector<candidate> targets;
    std::int64_t weight = 0;
};

void measure(const fleet_load& fleet, option& item, const step_terms& terms)
{
    item.weight = 0;
    for (const candidate& target : item.targets)
    {
        if (is_suitable(fleet.pressures, target, terms))
        {
            item.weight += weight_of(fleet.pressures, target, terms);
        }
    }
}

std::vector<candidate> candidates_of(const fleet_load& fleet,
                                     const recent_index& recent,
                                     const rack_view& view,
                                     const step_terms& terms)
{
    std::vector<candidate> found;
    for (const target_room& room : view.room.targets)
    {
        const auto entry = fleet.targets.find(room.id);
        if (room.is_open && entry != fleet.targets.end() &&
            matches(entry->second, terms))
        {
            found.push_back(make_candidate(fleet, recent, room, entry->second));
        }
    }
    return found;
}

std::vector<option> options_of(const fleet_load& fleet,
                               const recent_index& recent,
                               const step_terms& terms, time_point now)
{
    std::vector<option> options;
    for (const auto& [name, view] : fleet.racks)
    {
        if (name == terms.earlier_rack || !is_recent(fleet, view, now))
        {
            continue;
        }
        option item;
        item.rack = name;
        item.targets = candidates_of(fleet, recent, view, terms);
        measure(fleet, item, terms);
        if (item.weight > 0)
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
        total += item.weight;
    }
    std::uniform_int_distribution<std::int64_t> any(0, total - 1);
    std::int64_t left = any(random);
    for (std::size_t n = 0; n < options.size(); ++n)
    {
        left -= options[n].weight;
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

/// Rack that can take a task at some time.
struct queue_option
{
    std::string_view rack;
    std::int64_t capacity = 0;
    std::int64_t wanted = 0;
};

std::vector<queue_option> queues_of(const fleet_load& fleet,
                                    const recent_index& recent,
                                    const step_terms& terms, time_point now)
{
    std::map<std::string_view, std::int64_t> capacity;
    for (const auto& [id, entry] : fleet.targets)
    {
        if (can_ever_take(entry, terms))
        {
            capacity[entry.rack] += entry.capacity.cpu_milli + 1;
        }
    }
    std::vector<queue_option> queues;
    for (const auto& [rack, cpu] : capacity)
    {
        const auto view = fleet.racks.find(std::string(rack));
        if (view == fleet.racks.end() || !is_recent(fleet, view->second, now))
        {
            continue;
        }
        const auto placed = recent.cpu_by_rack.find(rack);
        const std::int64_t own =
            placed == recent.cpu_by_rack.end() ? 0 : placed->second;
        queues.push_back({rack, cpu, view->second.room.queued_cpu_milli + own});
    }
    return queues;
}

double load_of(const queue_option& item)
{
    return static_cast<double>(item.wanted) /
           static_cast<double>(item.capacity);
}

// The shorter of two queues that are drawn at random. All hosts see the same
// shortest queue until the next reports, and would all choose it.
std::string_view choose_queue(std::vector<queue_option>& queues,
                              const step_terms& terms, std::minstd_rand& random)
{
    if (queues.empty())
    {
        return {};
    }
    std::uniform_int_distribution<std::size_t> any(0, queues.size() - 1);
    queue_option* best = &queues[any(random)];
    queue_option& other = queues[any(random)];
    if (load_of(other) < load_of(*best))
    {
        best = &other;
    }
    best->wanted += terms.size.cpu_milli;
    return best->rack;
}

void forget_old(fleet_load& fleet, time_point now)
{
    fleet.recent.erase(std::remove_if(fleet.recent.begin(), fleet.recent.end(),
                                      [&](const recent_placement& item)
                                      { return is_shown(fleet, item, now); }),
                       fleet.recent.end());
}

recent_placement make_placement(const step_terms& terms,
                                const std::string& rack,
                                const std::string& target, time_point now)
{
    recent_placement item;
    item.rack = rack;
    item.target = target;
    item.size = reservation_of(terms);
    item.idle_users_milli = terms.uses_idle_cpu ? terms.size.cpu_milli : 0;
    item.image = terms.uses_idle_cpu ? terms.image : "";
    item.at = now;
    return item;
}

// Tasks of a step that go to one rack before another is drawn.
std::size_t tasks_at_once(const option& item, const step_terms& terms,
                          const std::string& data_rack)
{
    const bool stays_together =
        terms.is_gang || terms.response_target_ms > 0 || item.rack == data_rack;
    return stays_together ? std::numeric_limits<std::size_t>::max()
                          : most_at_once;
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
    const recent_index recent = index_recent(fleet, now);
    std::vector<std::string> chosen;
    std::vector<option> options = options_of(fleet, recent, terms, now);
    std::vector<recent_placement> placed;
    while (chosen.size() < count && !options.empty())
    {
        const std::size_t n = choose_option(options, terms, data_rack, random);
        option& item = options[n];
        const std::size_t last = std::min(
            count, chosen.size() + tasks_at_once(item, terms, data_rack));
        candidate* target = best_of(fleet.pressures, item.targets, terms);
        while (chosen.size() < last && target != nullptr)
        {
            take_room(fleet.pressures, *target, terms);
            placed.push_back(
                make_placement(terms, item.rack, target->entry->id, now));
            chosen.push_back(item.rack);
            target = best_of(fleet.pressures, item.targets, terms);
        }
        measure(fleet, item, terms);
        if (item.weight <= 0)
        {
            options.erase(options.begin() + static_cast<std::ptrdiff_t>(n));
        }
        if (terms.is_gang)
        {
            break;
        }
    }
    std::vector<queue_option> queues;
    if (chosen.size() < count)
    {
        queues = queues_of(fleet, recent, terms, now);
    }
    while (chosen.size() < count)
    {
        chosen.emplace_back(choose_queue(queues, terms, random));
        if (!chosen.back().empty())
        {
            placed.push_back(make_placement(terms, chosen.back(), "", now));
        }
    }
    fleet.recent.insert(fleet.recent.end(), placed.begin(), placed.end());
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

} // namespace egretspindle
