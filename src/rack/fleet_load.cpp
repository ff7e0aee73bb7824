#include "egretspindle/rack/fleet_load.hpp"

#include "egretspindle/core/rendezvous_hash.hpp"
#include "egretspindle/rack/interference.hpp"

#include "recent_view.hpp"

#include <algorithm>
#include <set>
#include <string_view>

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
// All hosts see the same room for a report period. Each counts on this many
// times its even share of it, as some have no tasks to place meanwhile.
constexpr double overcommitment = 2.0;
// Tasks of a step that go to one queue; smaller parts cost more messages.
constexpr std::size_t most_queued_at_once = 8;
// Part of the room elsewhere that queued starts may go to; the rest is for new
// tasks.
constexpr double offered_share = 0.5;

/// Room of one target, less what this host has placed since its report.
struct candidate
{
    const target_entry* entry = nullptr;
    task_size room;
    target_mix mix;
    std::int64_t taken_by_step = 0;
};

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
    take_spare(item.mix, fleet.interference, image,
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
    for (const target_load_report& room : view.room.targets)
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
        item.mix.spare_headroom = room.spare_headroom;
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
           finds_idle_cpu(item.mix, terms, item.room, fleet.interference);
}

// Tasks on idle processors go where they disturb nobody, and keep off targets
// that images with few such places need.
std::int64_t weight_of(const fleet_load& fleet, const candidate& item,
                       const step_terms& terms)
{
    constexpr double preferred_weight = 40.0;
    const std::int64_t idle =
        std::max<std::int64_t>(1, idle_cpu(item.mix, item.room));
    if (!terms.uses_idle_cpu || is_harmful(terms, item.mix, fleet.interference))
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
    std::int64_t idle_milli = 0;        ///< of the targets that can take a task
    std::int64_t remaining_of_step = 0; ///< tasks that it can still take
};

// Tasks of a step that a rack can still take by the bound for each target.
// Reports do not tell which targets have a task of the step already.
std::int64_t remaining_of_step(const rack_view& view, const step_terms& terms)
{
    if (terms.max_per_target == 0)
    {
        return std::numeric_limits<std::int64_t>::max();
    }
    const auto it = terms.tasks_in_rack.find(view.room.rack);
    return terms.max_per_target *
               static_cast<std::int64_t>(view.room.targets.size()) -
           (it == terms.tasks_in_rack.end() ? 0 : it->second);
}

std::vector<option> options_of(const fleet_load& fleet, const step_terms& terms,
                               time_point now)
{
    std::vector<option> options;
    const recent_by_target recent = sort_recent(fleet);
    for (const auto& [name, view] : fleet.racks)
    {
        option item;
        item.rack = name;
        item.remaining_of_step = remaining_of_step(view, terms);
        if (name == terms.earlier_rack || terms.avoided_racks.count(name) > 0 ||
            item.remaining_of_step <= 0)
        {
            continue;
        }
        item.targets = candidates_of(fleet, recent, view, terms, now);
        for (const candidate& target : item.targets)
        {
            if (is_suitable(fleet, target, terms))
            {
                item.free_cpu += weight_of(fleet, target, terms);
                item.idle_milli += idle_cpu(target.mix, target.room);
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

bool is_chosen_by_image(const step_terms& terms)
{
    return terms.response_target_ms > 0 && !terms.image.empty();
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
    if (is_chosen_by_image(terms))
    {
        return choose_by_image(options, terms.image);
    }
    return draw(options, random);
}

bool can_ever_take(const target_entry& entry, const step_terms& terms)
{
    return matches(entry, terms) && fits(reservation_of(terms), entry.capacity);
}

/// Queue of a rack, with the processors of its targets that can ever take a
/// task of the step.
struct queue_option
{
    std::string rack;
    std::int64_t capacity = 0;
    std::int64_t wanted = 0; ///< processors, by its queue and `recent`
    std::int64_t remaining_of_step = 0; ///< tasks that it can still take
};

// Processors that can ever take a task of the step; 0 without a recent report.
std::int64_t usable_milli(const fleet_load& fleet, const rack_view& view,
                          const step_terms& terms, time_point now)
{
    std::int64_t sum = 0;
    if (!is_recent(fleet, view, now))
    {
        return sum;
    }
    for (const target_load_report& room : view.room.targets)
    {
        const auto entry = fleet.targets.find(room.id);
        if (entry != fleet.targets.end() && can_ever_take(entry->second, terms))
        {
            sum += entry->second.capacity.cpu_milli + 1;
        }
    }
    return sum;
}

std::vector<queue_option> queues_of(const fleet_load& fleet,
                                    const step_terms& terms, time_point now)
{
    std::map<std::string_view, std::int64_t> wanted;
    for (const recent_placement& recent : fleet.recent)
    {
        if (recent.target.empty())
        {
            wanted[recent.rack] +=
                recent.size.cpu_milli + recent.idle_users_milli;
        }
    }
    std::vector<queue_option> queues;
    for (const auto& [rack, view] : fleet.racks)
    {
        const std::int64_t capacity = usable_milli(fleet, view, terms, now);
        const std::int64_t most = remaining_of_step(view, terms);
        if (capacity > 0 && most > 0)
        {
            queues.push_back({rack, capacity,
                              view.room.queued_cpu_milli + wanted[rack], most});
        }
    }
    // A rack that handed a task of the step back gets it only if there is no
    // other.
    const auto others = std::stable_partition(
        queues.begin(), queues.end(),
        [&terms](const queue_option& item)
        {
            return item.rack != terms.earlier_rack &&
                   terms.avoided_racks.count(item.rack) == 0;
        });
    if (others != queues.begin())
    {
        queues.erase(others, queues.end());
    }
    return queues;
}

bool is_shorter(const queue_option& lhs, const queue_option& rhs)
{
    return static_cast<double>(lhs.wanted) * static_cast<double>(rhs.capacity) <
           static_cast<double>(rhs.wanted) * static_cast<double>(lhs.capacity);
}

queue_option& draw_queue(std::vector<queue_option>& queues,
                         std::minstd_rand& random)
{
    std::int64_t total = 0;
    for (const queue_option& item : queues)
    {
        total += item.capacity;
    }
    std::uniform_int_distribution<std::int64_t> any(0, total - 1);
    std::int64_t left = any(random);
    const auto found = std::find_if(queues.begin(), queues.end(),
                                    [&left](const queue_option& item)
                                    {
                                        left -= item.capacity;
                                        return left < 0;
                                    });
    return *found;
}

// The shorter of two queues that are drawn at random by the size of the rack.
// All hosts see the same reports for 0.6 s, and would all choose the shortest;
// by the better of two, a rack is chosen at most twice as often as by chance.
queue_option* choose_queue(std::vector<queue_option>& queues,
                           std::minstd_rand& random)
{
    if (queues.empty())
    {
        return nullptr;
    }
    queue_option& first = draw_queue(queues, random);
    queue_option& second = draw_queue(queues, random);
    return is_shorter(second, first) ? &second : &first;
}

// Processors that this host has placed by reported room, in one rack or in all,
// and which no report shows.
std::int64_t taken_milli(const fleet_load& fleet, const std::string& rack)
{
    std::int64_t sum = 0;
    for (const recent_placement& recent : fleet.recent)
    {
        if (!recent.target.empty() && (rack.empty() || recent.rack == rack))
        {
            sum += recent.size.cpu_milli + recent.idle_users_milli;
        }
    }
    return sum;
}

// Tasks of a size that this host may place on idle processors, of which
// `taken` are its own placements already.
double own_share(const fleet_load& fleet, const step_terms& terms,
                 std::int64_t idle, std::int64_t taken)
{
    const double all = overcommitment * static_cast<double>(idle + taken) /
                       static_cast<double>(fleet.hosts);
    return (all - static_cast<double>(taken)) /
           static_cast<double>(std::max<std::int64_t>(1, terms.size.cpu_milli));
}

double draw_fraction(std::minstd_rand& random)
{
    return std::uniform_real_distribution<double>(0, 1)(random);
}

// Tasks of a step that may go to a rack. All hosts name the same rack for an
// image that serves.
std::size_t most_in_rack(const fleet_load& fleet, const option& item,
                         const step_terms& terms, std::size_t count,
                         std::minstd_rand& random)
{
    const std::size_t most = static_cast<std::size_t>(std::min<std::int64_t>(
        item.remaining_of_step, static_cast<std::int64_t>(count)));
    if (!is_chosen_by_image(terms) || terms.is_gang)
    {
        return most;
    }
    const double share =
        own_share(fleet, terms, item.idle_milli, taken_milli(fleet, item.rack));
    return std::min(most, static_cast<std::size_t>(
                              std::max(0.0, share + draw_fraction(random))));
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

// Sends the rest of a step to queues. Racks that can take no more of it by its
// bound get none; tasks that are left over get no rack.
void add_queued(fleet_load& fleet, const step_terms& terms, std::size_t count,
                time_point now, std::minstd_rand& random,
                std::vector<std::string>& chosen)
{
    std::vector<queue_option> queues = queues_of(fleet, terms, now);
    while (chosen.size() < count)
    {
        queue_option* const queue = choose_queue(queues, random);
        if (queue == nullptr)
        {
            chosen.resize(count);
            return;
        }
        const std::size_t part =
            std::min({most_queued_at_once, count - chosen.size(),
                      static_cast<std::size_t>(queue->remaining_of_step)});
        queue->wanted += terms.size.cpu_milli * static_cast<std::int64_t>(part);
        queue->remaining_of_step -= static_cast<std::int64_t>(part);
        const std::string rack = queue->rack;
        for (std::size_t n = 0; n < part; ++n)
        {
            chosen.push_back(rack);
            remember(fleet, terms, rack, "", now);
        }
        if (queue->remaining_of_step == 0)
        {
            queues.erase(queues.begin() + (queue - queues.data()));
        }
    }
}

} // namespace

bool update_host_boot(fleet_load& fleet, const std::string& host,
                      std::int64_t boot)
{
    std::int64_t& known = fleet.host_boots[host];
    const bool is_new = known != boot;
    known = boot;
    return is_new;
}

void apply_load_reports(fleet_load& fleet, std::vector<rack_load_report>& rooms,
                        time_point now)
{
    for (rack_load_report& room : rooms)
    {
        rack_view& view = fleet.racks[room.rack];
        std::swap(view.room, room);
        view.reported_at = now;
    }
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
        const std::size_t most =
            chosen.size() + most_in_rack(fleet, item, terms, count, random);
        candidate* target = best_of(fleet, item.targets, terms);
        while (chosen.size() < std::min(count, most) && target != nullptr)
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
    if (chosen.size() < count)
    {
        add_queued(fleet, terms, count, now, random, chosen);
    }
    return chosen;
}

bool has_room_for_long_running(const fleet_load& fleet,
                               const std::string& service,
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
        for (const target_load_report& room : view.room.targets)
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

std::size_t hand_back_quota(const fleet_load& fleet, const step_terms& terms,
                            const std::string& rack, time_point now,
                            std::minstd_rand& random)
{
    double idle = 0;
    for (const option& item : options_of(fleet, terms, now))
    {
        idle += item.rack == rack ? 0 : static_cast<double>(item.idle_milli);
    }
    double queued = 0;
    double queued_here = 0;
    for (const auto& [name, view] : fleet.racks)
    {
        if (is_recent(fleet, view, now))
        {
            const auto wanted = static_cast<double>(view.room.queued_cpu_milli);
            queued += wanted;
            queued_here += name == rack ? wanted : 0;
        }
    }
    const double part = queued > 0 ? queued_here / queued : 1.0;
    const auto cpu =
        static_cast<double>(std::max<std::int64_t>(1, terms.size.cpu_milli));
    const auto places = static_cast<std::size_t>(
        offered_share * part * idle / cpu + draw_fraction(random));
    // Most queued work cannot use the places of tasks that last, which are few
    // and must not wait for long.
    const bool may_last = terms.is_long_running || terms.response_target_ms > 0;
    return may_last && idle >= cpu ? std::max<std::size_t>(1, places) : places;
}

} // namespace egretspindle
