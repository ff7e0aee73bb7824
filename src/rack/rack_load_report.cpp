#include "egretspindle/rack/rack_load_report.hpp"

#include "egretspindle/rack/mix_cache.hpp"

#include <utility>

namespace egretspindle
{

namespace
{

// Starts that find a place at once are not worth a reservation.
constexpr milliseconds waiting_age{400};

} // namespace

rack_load_report make_load_report(rack_state& rack,
                                  const interference_model& model,
                                  time_point now)
{
    rack_load_report room;
    room.rack = rack.name;
    for (const queued_start& start : rack.queue)
    {
        ++room.queued;
        room.queued_cpu_milli += start.terms->size.cpu_milli;
        if (start.terms->uses_idle_cpu && now - start.queued_at > waiting_age)
        {
            ++room.waiting[start.terms->image.str()];
        }
    }
    refresh_mixes(rack, model, now);
    for (const auto& [id, target] : rack.targets)
    {
        target_load_report item;
        item.id = id;
        item.room = target.cached.room;
        item.is_open = target.cached.is_open;
        const target_mix& mix = target.cached.mix;
        item.idle_users_milli = mix.idle_users_milli;
        item.unused_milli = mix.unused_milli;
        item.spare_headroom = mix.spare_headroom;
        item.scarcity = mix.scarcity;
        item.reserved = mix.reserved;
        room.targets.push_back(std::move(item));
    }
    return room;
}

} // namespace egretspindle
