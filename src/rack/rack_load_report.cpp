#include "egretspindle/rack/rack_load_report.hpp"

#include "egretspindle/rack/colocation_cache.hpp"

#include <utility>

namespace egretspindle
{

namespace
{

// Starts younger than this are not reported as waiting: no targets need to be
// reserved for starts that are placed at once.
constexpr milliseconds min_waiting_age{400};

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
