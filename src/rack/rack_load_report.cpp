#include "egretspindle/rack/rack_load_report.hpp"

#include "egretspindle/rack/colocation_cache.hpp"

#include <algorithm>
#include <utility>

namespace egretspindle
{

namespace
{

// Starts younger than this are not reported as waiting: no targets need to be
// reserved for starts that are placed at once.
constexpr milliseconds min_waiting_age{400};

std::optional<std::int64_t> largest_eventual_cpu(const rack_state& rack)
{
    std::optional<std::int64_t> largest;
    for (const auto& [id, target] : rack.targets)
    {
        if (target.is_reached && target.is_listed && !target.entry.is_draining)
        {
            const std::int64_t cpu = target.cached.is_open
                                         ? target.cached.eventual_room.cpu_milli
                                         : 0;
            largest = std::max(largest.value_or(cpu), cpu);
        }
    }
    return largest;
}

} // namespace

rack_load_report make_load_report(rack_state& rack,
                                  const interference_model& model,
                                  time_point now)
{
    rack_load_report report;
    report.rack = rack.name;
    for (const queued_start& start : rack.queue)
    {
        ++report.queued;
        report.queued_cpu_milli += start.terms->size.cpu_milli;
        if (start.terms->uses_idle_cpu &&
            now - start.queued_at > min_waiting_age)
        {
            ++report.waiting[start.terms->image.str()];
        }
    }
    refresh_colocations(rack, model, now);
    report.eventual_cpu_milli = largest_eventual_cpu(rack);
    for (const auto& [id, target] : rack.targets)
    {
        if (!target.is_reached)
        {
            continue; // nothing shows that it exists
        }
        target_load_report item;
        item.id = id;
        item.room = target.cached.room;
        // The gathered room of a reserved target is not for other starts.
        item.is_open = target.cached.is_open && !target.reservation;
        const colocation_summary& colocation = target.cached.colocation;
        item.backfill_milli = colocation.backfill_milli;
        item.unused_milli = colocation.unused_milli;
        item.spare_headroom = colocation.spare_headroom;
        item.scarcity = colocation.scarcity;
        item.reserved = colocation.reserved;
        report.targets.push_back(std::move(item));
    }
    return report;
}

} // namespace egretspindle
