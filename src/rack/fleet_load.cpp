#include "egretspindle/rack/fleet_load.hpp"

#include "egretspindle/core/rendezvous_hash.hpp"
#include "egretspindle/rack/interference.hpp"

#include "recent_view.hpp"
#include "target_check.hpp"

#include <algorithm>
#include <cmath>
#include <set>
#include <string_view>

namespace egretspindle
{

namespace
{

// Time from the choice of a rack until its owner has queued the start: writing
// the assignment to the store and one message. Later reports include the start.
constexpr milliseconds assignment_delay{300};
// Percentage of the processors of a service that is kept free of long-running
// tasks.
// Urgent short tasks of users take 5% on average and twice that in bursts.
constexpr std::int64_t short_task_percent = 8;
// Weight of the latest step in the mean size of short tasks. A host of a large
// fleet assigns one such step in several seconds.
constexpr double short_size_weight = 0.125;
// All hosts see the same free capacity for a report period, and choose the same
// rack for a serving image. Each host uses up to this multiple of its even
// share of that rack, since some have no tasks to place.
constexpr double overcommit_factor = 2.0;
// Maximum number of tasks of a step that go to the same queue at once. Smaller
// groups cost more messages.
constexpr std::size_t max_queued_at_once = 8;
// Share of the free capacity of other racks that is offered to queued starts;
// the rest is for new tasks.
constexpr double offered_share = 0.5;

/// Free capacity of one target, less what this host has placed since the
/// report.
struct candidate
{
    const target_entry* entry = nullptr;
    task_size room; ///< capacity that no task has reserved
    colocation_summary colocation;
    std::int64_t placed_of_step = 0; ///< tasks, by this call of `choose_racks`
};

// Returns whether the load reports include a placement. Reports arrive at
// irregular intervals and some time after they were measured, so this depends
// on the report of the rack; only without reports does a placement expire after
// `report_age`.
bool is_in_reports(const fleet_load& fleet, const recent_placement& item,
                   time_point now)
{
    const auto view = fleet.racks.find(item.rack);
    const bool is_reported =
        view != fleet.racks.end() &&
        view->second.measured_at >= item.at + assignment_delay;
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

void add_backfill(const fleet_load& fleet, candidate& item,
                  const image_name& image, std::int64_t cpu_milli)
{
    constexpr double milli_per_core = 1'000.0;
    item.colocation.backfill_milli += cpu_milli;
    subtract_spare_headroom(item.colocation, fleet.interference, image,
                            static_cast<double>(cpu_milli) / milli_per_core);
}

// Recent placements on targets that no report includes yet, sorted by target.
// A host that chooses no racks does not remove the others from
// `fleet_load::recent`. Under load there are hundreds, and a linear search for
// each target would compare its name with all of them.
using recent_by_target = std::vector<const recent_placement*>;

bool is_before(const recent_placement* lhs, const recent_placement* rhs)
{
    return lhs->target < rhs->target;
}

recent_by_target sort_recent(const fleet_load& fleet, time_point now)
{
    recent_by_target sorted;
    sorted.reserve(fleet.recent.size());
    for (const recent_placement& item : fleet.recent)
    {
        if (!item.target.empty() && !is_in_reports(fleet, item, now))
        {
            sorted.push_back(&item);
        }
    }
    std::stable_sort(sorted.begin(), sorted.end(), is_before);
    return sorted;
}

// Subtracts the recent placements of this host from the free capacity of a
// target.
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
        add_backfill(fleet, item, (*it)->image, (*it)->backfill_milli);
    }
}

std::vector<candidate> find_candidates(const fleet_load& fleet,
                                       const recent_by_target& recent,
                                       const rack_view& view,
                                       const step_terms& terms, time_point now)
{
    std::vector<candidate> found;
    if (!is_recent(fleet, view, now))
    {
        return found;
    }
    for (const target_load_report& report : view.room.targets)
    {
        const auto entry = fleet.targets.find(report.id);
        if (!report.is_open || entry == fleet.targets.end() ||
            !matches(entry->second, terms))
        {
            continue;
        }
        candidate item;
        item.entry = &entry->second;
        item.room = report.room;
        item.colocation.backfill_milli = report.backfill_milli;
        item.colocation.unused_milli = report.unused_milli;
        item.colocation.spare_headroom = report.spare_headroom;
        item.colocation.scarcity = report.scarcity;
        item.colocation.reserved = report.reserved;
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
         item.placed_of_step >= terms.max_per_target))
    {
        return false;
    }
    return !terms.uses_idle_cpu ||
           can_take_backfill(item.colocation, terms, item.room,
                             fleet.interference);
}

// Returns the processors of a target, in thousandths of a core, that tasks of
// the step can use. Backfill tasks give way to all others.
std::int64_t usable_cpu(const candidate& item, const step_terms& terms)
{
    const std::int64_t idle = idle_cpu(item.colocation, item.room);
    return terms.uses_idle_cpu ? idle : idle + item.colocation.backfill_milli;
}

// Weight of a target for a task of the step. Backfill tasks prefer targets
// where they harm no serving task, and avoid those that images with few
// suitable targets need.
std::int64_t weight_of(const fleet_load& fleet, const candidate& item,
                       const step_terms& terms)
{
    constexpr double preferred_weight = 40.0;
    const std::int64_t idle =
        std::max<std::int64_t>(1, idle_cpu(item.colocation, item.room));
    if (!terms.uses_idle_cpu ||
        is_harmful(terms, item.colocation, fleet.interference))
    {
        return idle;
    }
    const double use = 1.1 - item.colocation.scarcity;
    return static_cast<std::int64_t>(preferred_weight * use * use *
                                     static_cast<double>(idle)) +
           1;
}

candidate* best_candidate(const fleet_load& fleet,
                          std::vector<candidate>& items,
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

/// Rack with the targets that may take tasks of a step.
struct rack_option
{
    std::string rack;
    std::vector<candidate> targets;
    std::int64_t total_weight = 0; ///< sum of `weight_of` its suitable targets
    std::int64_t usable_milli = 0; ///< sum of `usable_cpu` of these targets
    /// Tasks of the step that the rack can still take.
    std::int64_t remaining_of_step = 0;
};

// Returns how many tasks of a step a rack can still take within the limit per
// target. Reports do not say which targets already have a task of the step.
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

std::vector<rack_option> find_options(const fleet_load& fleet,
                                      const step_terms& terms, time_point now)
{
    std::vector<rack_option> options;
    const recent_by_target recent = sort_recent(fleet, now);
    for (const auto& [name, view] : fleet.racks)
    {
        rack_option item;
        item.rack = name;
        item.remaining_of_step = remaining_of_step(view, terms);
        if (name == terms.earlier_rack || terms.avoided_racks.count(name) > 0 ||
            item.remaining_of_step <= 0)
        {
            continue;
        }
        item.targets = find_candidates(fleet, recent, view, terms, now);
        for (const candidate& target : item.targets)
        {
            if (is_suitable(fleet, target, terms))
            {
                item.total_weight += weight_of(fleet, target, terms);
                item.usable_milli += usable_cpu(target, terms);
            }
        }
        if (item.total_weight > 0)
        {
            options.push_back(std::move(item));
        }
    }
    return options;
}

// Draws an option at random in proportion to `total_weight`, and returns its
// index.
std::size_t draw_option(const std::vector<rack_option>& options,
                        std::minstd_rand& random)
{
    std::int64_t total = 0;
    for (const rack_option& item : options)
    {
        total += item.total_weight;
    }
    std::uniform_int_distribution<std::int64_t> any(0, total - 1);
    std::int64_t left = any(random);
    for (std::size_t n = 0; n < options.size(); ++n)
    {
        left -= options[n].total_weight;
        if (left < 0)
        {
            return n;
        }
    }
    return options.size() - 1;
}

// Chooses the same rack for an image on all hosts, so that its serving tasks
// share targets and each target serves few images. Backfill tasks then find
// targets where they harm no serving task. Considers the first `count` options.
std::size_t choose_by_image(const std::vector<rack_option>& options,
                            std::size_t count, const std::string& image)
{
    std::vector<std::string> racks;
    racks.reserve(count);
    for (std::size_t n = 0; n < count; ++n)
    {
        racks.push_back(options[n].rack);
    }
    return rendezvous_choice(image, racks);
}

bool is_chosen_by_image(const step_terms& terms)
{
    return terms.response_target_ms > 0 && !terms.image.empty();
}

bool has_filled_target(const fleet_load& fleet, const rack_option& item,
                       const step_terms& terms)
{
    return std::any_of(item.targets.begin(), item.targets.end(),
                       [&](const candidate& target)
                       {
                           return is_suitable(fleet, target, terms) &&
                                  fills_room(terms, target.room);
                       });
}

// Moves the racks to the front in which a long-running task fills the free
// processors of a target, and returns their number.
std::size_t sort_by_filled_targets(const fleet_load& fleet,
                                   std::vector<rack_option>& options,
                                   const step_terms& terms)
{
    if (!terms.is_long_running)
    {
        return 0;
    }
    const auto others =
        std::stable_partition(options.begin(), options.end(),
                              [&](const rack_option& item) {
                                  return has_filled_target(fleet, item, terms);
                              });
    return static_cast<std::size_t>(others - options.begin());
}

// May reorder the options.
std::size_t choose_option(const fleet_load& fleet,
                          std::vector<rack_option>& options,
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
        const std::size_t filled =
            sort_by_filled_targets(fleet, options, terms);
        return choose_by_image(options, filled > 0 ? filled : options.size(),
                               terms.image);
    }
    return draw_option(options, random);
}

bool can_take_when_empty(const target_entry& entry, const step_terms& terms)
{
    return matches(entry, terms) && fits(reservation_of(terms), entry.capacity);
}

bool waits_for_long_running(const step_terms& terms)
{
    return terms.is_long_running && !terms.uses_idle_cpu;
}

// Returns whether a rack may have room for a task once short tasks have ended.
bool may_take_later(const rack_view& view, const step_terms& terms)
{
    return !waits_for_long_running(terms) || !view.room.eventual_cpu_milli ||
           terms.size.cpu_milli <= *view.room.eventual_cpu_milli;
}

/// Queue of a rack that has targets which can take a task of the step at all.
struct queue_option
{
    std::string rack;
    // In thousandths of a core.
    std::int64_t capacity = 0; ///< processors of these targets
    std::int64_t wanted = 0;   ///< by the tasks in its queue and `recent`
    /// Tasks of the step that the rack can still take.
    std::int64_t remaining_of_step = 0;
    bool may_take_later = true;
};

// Keeps only the queues that meet a condition, unless none does.
template <typename Predicate>
void prefer(std::vector<queue_option>& queues, Predicate predicate)
{
    const auto others =
        std::stable_partition(queues.begin(), queues.end(), predicate);
    if (others != queues.begin())
    {
        queues.erase(others, queues.end());
    }
}

// Returns the processors, in thousandths of a core, of the targets that can
// take a task of the step when they are empty; 0 without a recent report.
std::int64_t usable_milli(const fleet_load& fleet, const rack_view& view,
                          const step_terms& terms, time_point now)
{
    std::int64_t sum = 0;
    if (!is_recent(fleet, view, now))
    {
        return sum;
    }
    for (const target_load_report& report : view.room.targets)
    {
        const auto entry = fleet.targets.find(report.id);
        if (entry != fleet.targets.end() &&
            can_take_when_empty(entry->second, terms))
        {
            sum += entry->second.capacity.cpu_milli + 1;
        }
    }
    return sum;
}

std::vector<queue_option> find_queues(const fleet_load& fleet,
                                      const step_terms& terms, time_point now)
{
    std::map<std::string_view, std::int64_t> wanted;
    for (const recent_placement& recent : fleet.recent)
    {
        if (recent.target.empty())
        {
            wanted[recent.rack] +=
                recent.size.cpu_milli + recent.backfill_milli;
        }
    }
    std::vector<queue_option> queues;
    for (const auto& [rack, view] : fleet.racks)
    {
        const std::int64_t capacity = usable_milli(fleet, view, terms, now);
        const std::int64_t max_tasks = remaining_of_step(view, terms);
        if (capacity > 0 && max_tasks > 0)
        {
            queues.push_back({rack, capacity,
                              view.room.queued_cpu_milli + wanted[rack],
                              max_tasks, may_take_later(view, terms)});
        }
    }
    prefer(queues,
           [](const queue_option& item) { return item.may_take_later; });
    // A rack that handed back a task of the step is chosen only if there is no
    // other.
    prefer(queues,
           [&terms](const queue_option& item)
           {
               return item.rack != terms.earlier_rack &&
                      terms.avoided_racks.count(item.rack) == 0;
           });
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

// Chooses the shorter of two queues drawn at random, weighted by capacity. All
// hosts see the same reports for a report period (0.6 s with 490 targets) and
// would all choose the shortest queue. With the better of two random ones, no
// rack is chosen more than twice as often as with a single random draw.
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

// Returns the processors, in thousandths of a core, of recent placements of
// this host on reported free capacity, in one rack or, with an empty name, in
// all.
std::int64_t recently_placed_milli(const fleet_load& fleet,
                                   const std::string& rack)
{
    std::int64_t sum = 0;
    for (const recent_placement& recent : fleet.recent)
    {
        if (!recent.target.empty() && (rack.empty() || recent.rack == rack))
        {
            sum += recent.size.cpu_milli + recent.backfill_milli;
        }
    }
    return sum;
}

// Returns how many more tasks of the step this host may place within its share
// of the processors of a rack: the `usable` ones plus those that it has `taken`
// since the report, in thousandths of a core.
double own_quota(const fleet_load& fleet, const step_terms& terms,
                 std::int64_t usable, std::int64_t taken)
{
    const double own_milli = overcommit_factor *
                             static_cast<double>(usable + taken) /
                             static_cast<double>(fleet.hosts);
    return (own_milli - static_cast<double>(taken)) /
           static_cast<double>(std::max<std::int64_t>(1, terms.size.cpu_milli));
}

double draw_fraction(std::minstd_rand& random)
{
    return std::uniform_real_distribution<double>(0, 1)(random);
}

/// Which part of the reported free capacity the tasks of a step may use.
enum class room_use
{
    own_share, ///< see `own_quota`
    all,
};

// Returns how many of `count` tasks of a step may go to a rack. With
// `own_share`, serving tasks, except gangs, are limited to the share of this
// host, since all hosts choose the same rack for their image.
std::size_t max_in_rack(const fleet_load& fleet, const rack_option& item,
                        const step_terms& terms, std::size_t count,
                        room_use use, std::minstd_rand& random)
{
    const std::size_t max_tasks =
        static_cast<std::size_t>(std::clamp<std::int64_t>(
            item.remaining_of_step, 0, static_cast<std::int64_t>(count)));
    if (!is_chosen_by_image(terms) || terms.is_gang || use == room_use::all)
    {
        return max_tasks;
    }
    const double share = own_quota(fleet, terms, item.usable_milli,
                                   recently_placed_milli(fleet, item.rack));
    return std::min(max_tasks, static_cast<std::size_t>(std::max(
                                   0.0, share + draw_fraction(random))));
}

void drop_reported_placements(fleet_load& fleet, time_point now)
{
    fleet.recent.erase(
        std::remove_if(fleet.recent.begin(), fleet.recent.end(),
                       [&](const recent_placement& item)
                       { return is_in_reports(fleet, item, now); }),
        fleet.recent.end());
}

void add_recent(fleet_load& fleet, const step_terms& terms,
                const std::string& rack, const std::string& target,
                time_point now)
{
    recent_placement item;
    item.rack = rack;
    item.target = target;
    item.size = reservation_of(terms);
    item.backfill_milli = terms.uses_idle_cpu ? terms.size.cpu_milli : 0;
    item.image = terms.uses_idle_cpu ? terms.image : image_name();
    item.at = now;
    fleet.recent.push_back(std::move(item));
}

void record_short_size(fleet_load& fleet, const step_terms& terms)
{
    if (terms.is_long_running || terms.uses_idle_cpu ||
        terms.size.cpu_milli <= 0 || !terms.earlier_rack.empty())
    {
        return; // a step that was handed back has been counted before
    }
    const auto size = static_cast<double>(terms.size.cpu_milli);
    const auto [it, is_new] =
        fleet.short_cpu_milli.try_emplace(terms.service, size);
    it->second += short_size_weight * (size - it->second);
}

// Assigns tasks of a step to racks that have reported room for them, until
// `chosen` has `count` entries.
void place_on_reported_room(fleet_load& fleet, const step_terms& terms,
                            std::size_t count, const std::string& data_rack,
                            time_point now, std::minstd_rand& random,
                            room_use use, std::vector<std::string>& chosen)
{
    std::vector<rack_option> options = find_options(fleet, terms, now);
    while (chosen.size() < count && !options.empty())
    {
        const std::size_t n =
            choose_option(fleet, options, terms, data_rack, random);
        rack_option& item = options[n];
        if (terms.max_per_target > 0)
        {
            item.remaining_of_step -=
                std::count(chosen.begin(), chosen.end(), item.rack);
        }
        const std::size_t max_tasks =
            chosen.size() + max_in_rack(fleet, item, terms, count, use, random);
        candidate* target = best_candidate(fleet, item.targets, terms);
        while (chosen.size() < std::min(count, max_tasks) && target != nullptr)
        {
            subtract_from(target->room, reservation_of(terms));
            if (terms.uses_idle_cpu)
            {
                add_backfill(fleet, *target, terms.image, terms.size.cpu_milli);
            }
            ++target->placed_of_step;
            add_recent(fleet, terms, item.rack, target->entry->id, now);
            chosen.push_back(item.rack);
            target = best_candidate(fleet, item.targets, terms);
        }
        options.erase(options.begin() + static_cast<std::ptrdiff_t>(n));
        if (terms.is_gang)
        {
            break;
        }
    }
}

// Assigns the remaining tasks of a step to queues of racks, within the limit
// per target. Tasks that no rack can take get an empty name.
void add_queued(fleet_load& fleet, const step_terms& terms, std::size_t count,
                time_point now, std::minstd_rand& random,
                std::vector<std::string>& chosen)
{
    std::vector<queue_option> queues = find_queues(fleet, terms, now);
    while (chosen.size() < count)
    {
        queue_option* const queue = choose_queue(queues, random);
        if (queue == nullptr)
        {
            chosen.resize(count);
            return;
        }
        const std::size_t part =
            std::min({max_queued_at_once, count - chosen.size(),
                      static_cast<std::size_t>(queue->remaining_of_step)});
        queue->wanted += terms.size.cpu_milli * static_cast<std::int64_t>(part);
        queue->remaining_of_step -= static_cast<std::int64_t>(part);
        const std::string rack = queue->rack;
        for (std::size_t n = 0; n < part; ++n)
        {
            chosen.push_back(rack);
            add_recent(fleet, terms, rack, "", now);
        }
        if (queue->remaining_of_step == 0)
        {
            queues.erase(queues.begin() + (queue - queues.data()));
        }
    }
}

// Returns how many tasks of a step fit on a target when it is empty.
std::int64_t tasks_when_empty(const target_entry& entry,
                              const step_terms& terms)
{
    if (!can_take_when_empty(entry, terms))
    {
        return 0;
    }
    const task_size size = reservation_of(terms);
    std::int64_t tasks = terms.max_per_target > 0
                             ? terms.max_per_target
                             : std::numeric_limits<std::int64_t>::max();
    const auto limit_by = [&tasks](std::int64_t capacity, std::int64_t wanted)
    {
        tasks = wanted > 0 ? std::min(tasks, capacity / wanted) : tasks;
    };
    limit_by(entry.capacity.cpu_milli, size.cpu_milli);
    limit_by(entry.capacity.memory_mb, size.memory_mb);
    limit_by(entry.capacity.accelerators, size.accelerators);
    return tasks;
}

// Returns whether any rack could hold a whole gang if its targets were empty.
bool has_rack_for_gang(const fleet_load& fleet, const step_terms& terms,
                       std::size_t count)
{
    std::map<std::string_view, std::size_t> places;
    for (const auto& [id, entry] : fleet.targets)
    {
        std::size_t& sum = places[entry.rack];
        sum += std::min(
            count, static_cast<std::size_t>(tasks_when_empty(entry, terms)));
        if (sum >= count)
        {
            return true;
        }
    }
    return false;
}

/// Targets of one rack that have reported room for members of a gang, one entry
/// for each member.
struct gang_part
{
    std::string rack;
    std::vector<std::string> targets;
};

// Returns the parts of a gang that fit into the reported free capacity of each
// rack, the largest first.
std::vector<gang_part> find_gang_parts(const fleet_load& fleet,
                                       const step_terms& terms,
                                       std::size_t count, time_point now)
{
    // The reported room of a rack that has handed back the gang is as good as
    // that of others: the report is newer.
    step_terms any_rack = terms;
    any_rack.earlier_rack.clear();
    any_rack.avoided_racks.clear();
    std::vector<gang_part> parts;
    for (rack_option& item : find_options(fleet, any_rack, now))
    {
        gang_part part{item.rack, {}};
        candidate* target = best_candidate(fleet, item.targets, any_rack);
        while (target != nullptr && part.targets.size() < count)
        {
            subtract_from(target->room, reservation_of(any_rack));
            ++target->placed_of_step;
            part.targets.push_back(target->entry->id);
            target = best_candidate(fleet, item.targets, any_rack);
        }
        parts.push_back(std::move(part));
    }
    std::stable_sort(parts.begin(), parts.end(),
                     [](const gang_part& lhs, const gang_part& rhs)
                     { return lhs.targets.size() > rhs.targets.size(); });
    return parts;
}

// Splits a gang among as few racks as possible, if no single one has reported
// room for it and all together have. Returns whether it did.
bool place_split_gang(fleet_load& fleet, const step_terms& terms,
                      std::size_t count, time_point now,
                      std::vector<std::string>& chosen)
{
    const std::vector<gang_part> parts =
        find_gang_parts(fleet, terms, count, now);
    std::size_t places = 0;
    for (const gang_part& part : parts)
    {
        places += part.targets.size();
    }
    const bool has_whole_part =
        !parts.empty() && parts.front().targets.size() >= count;
    if (has_whole_part || places < count)
    {
        return false;
    }
    for (const gang_part& part : parts)
    {
        for (const std::string& target : part.targets)
        {
            if (chosen.size() < count)
            {
                add_recent(fleet, terms, part.rack, target, now);
                chosen.push_back(part.rack);
            }
        }
    }
    return true;
}

// Returns whether a rack reports room for a long-running task of the step once
// its short tasks have ended.
bool reports_eventual_room(const fleet_load& fleet, const rack_view& view,
                           const step_terms& terms, time_point now)
{
    return view.room.eventual_cpu_milli.has_value() &&
           may_take_later(view, terms) &&
           usable_milli(fleet, view, terms, now) > 0 &&
           remaining_of_step(view, terms) > 0;
}

// Returns how many other racks have room for a long-running task of the step
// once their short tasks have ended; 0 if its own rack has.
std::size_t count_better_racks(const fleet_load& fleet, const step_terms& terms,
                               const std::string& rack, time_point now)
{
    const auto own = fleet.racks.find(rack);
    if (own == fleet.racks.end() || may_take_later(own->second, terms))
    {
        return 0;
    }
    return static_cast<std::size_t>(std::count_if(
        fleet.racks.begin(), fleet.racks.end(),
        [&](const auto& item)
        { return reports_eventual_room(fleet, item.second, terms, now); }));
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

void apply_load_reports(fleet_load& fleet,
                        std::vector<rack_load_report>& reports,
                        time_point measured_at)
{
    for (rack_load_report& report : reports)
    {
        rack_view& view = fleet.racks[report.rack];
        // A former owner may have sent its last report later than the next
        // owner its first one.
        if (view.measured_at <= measured_at)
        {
            std::swap(view.room, report);
            view.measured_at = measured_at;
        }
    }
}

std::vector<std::string> choose_racks(fleet_load& fleet,
                                      const step_terms& terms,
                                      std::size_t count,
                                      const std::string& data_rack,
                                      time_point now, std::minstd_rand& random)
{
    drop_reported_placements(fleet, now);
    record_short_size(fleet, terms);
    std::vector<std::string> chosen;
    if (terms.is_gang)
    {
        const bool has_rack = has_rack_for_gang(fleet, terms, count);
        if ((!has_rack || terms.prefers_split_gang) &&
            place_split_gang(fleet, terms, count, now, chosen))
        {
            return chosen;
        }
        if (!has_rack)
        {
            return std::vector<std::string>(count);
        }
    }
    place_on_reported_room(fleet, terms, count, data_rack, now, random,
                           room_use::own_share, chosen);
    // A task that was at work or has waited before goes wherever there is room.
    if (chosen.size() < count && waits_for_long_running(terms) &&
        !terms.is_gang && !terms.earlier_rack.empty())
    {
        place_on_reported_room(fleet, terms, count, data_rack, now, random,
                               room_use::all, chosen);
    }
    if (chosen.size() < count)
    {
        add_queued(fleet, terms, count, now, random, chosen);
    }
    if (terms.is_gang)
    {
        std::fill(chosen.begin(), chosen.end(), std::string(chosen.front()));
    }
    return chosen;
}

std::int64_t usable_by_short_tasks(const fleet_load& fleet,
                                   const target_entry& target,
                                   std::int64_t free_milli)
{
    const std::int64_t free = std::max<std::int64_t>(0, free_milli);
    if (target.is_draining)
    {
        return free - target.capacity.cpu_milli;
    }
    const auto it = fleet.short_cpu_milli.find(target.service);
    if (it == fleet.short_cpu_milli.end())
    {
        return free;
    }
    const std::int64_t size = std::max<std::int64_t>(
        1, std::min<std::int64_t>(std::llround(it->second),
                                  target.capacity.cpu_milli));
    return free / size * size;
}

std::int64_t lasting_capacity_milli(const target_entry& target) noexcept
{
    return target.is_draining ? 0 : target.capacity.cpu_milli;
}

bool has_room_for_long_running(const fleet_load& fleet,
                               const std::string& service,
                               std::int64_t cpu_milli, time_point now)
{
    std::int64_t capacity = 0;
    std::int64_t reported = 0;
    std::int64_t usable = 0;
    for (const auto& [id, entry] : fleet.targets)
    {
        capacity +=
            entry.service == service ? lasting_capacity_milli(entry) : 0;
    }
    for (const auto& [name, view] : fleet.racks)
    {
        if (!is_recent(fleet, view, now))
        {
            continue;
        }
        for (const target_load_report& report : view.room.targets)
        {
            const auto it = fleet.targets.find(report.id);
            if (it != fleet.targets.end() && it->second.service == service)
            {
                reported += lasting_capacity_milli(it->second);
                usable += usable_by_short_tasks(fleet, it->second,
                                                report.room.cpu_milli);
            }
        }
    }
    for (const recent_placement& item : fleet.recent)
    {
        usable -= is_in_reports(fleet, item, now) ? 0 : item.size.cpu_milli;
    }
    const bool is_known = reported * 4 >= capacity * 3;
    return !is_known ||
           (usable - cpu_milli) * 100 >= capacity * short_task_percent;
}

std::size_t hand_back_quota(const fleet_load& fleet, const step_terms& terms,
                            const std::string& rack, time_point now,
                            std::minstd_rand& random, room_kind room)
{
    double usable = 0;
    for (const rack_option& item : find_options(fleet, terms, now))
    {
        usable +=
            item.rack == rack ? 0 : static_cast<double>(item.usable_milli);
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
        offered_share * part * usable / cpu + draw_fraction(random));
    // The queues of other racks mostly hold tasks that do not compete for the
    // places that suit long-running ones. Counted by the share of the queue
    // alone, the few long-running ones would wait for long.
    // While a service is lightly used, no start waits for others to be moved.
    const bool counts_as_long_running =
        terms.is_long_running || terms.response_target_ms > 0 ||
        lightly_used_services(fleet, now).count(terms.service) > 0;
    const std::size_t min_places =
        counts_as_long_running && usable >= cpu ? 1 : 0;
    const std::size_t better_racks =
        room == room_kind::eventual
            ? count_better_racks(fleet, terms, rack, now)
            : 0;
    return std::max({places, min_places, better_racks});
}

bool has_eventual_room(const fleet_load& fleet, const step_terms& terms,
                       time_point now)
{
    return std::any_of(
        fleet.racks.begin(), fleet.racks.end(),
        [&](const auto& item)
        { return reports_eventual_room(fleet, item.second, terms, now); });
}

} // namespace egretspindle
