#include "egretspindle/rack/room_elsewhere.hpp"

#include "candidate.hpp"

#include <algorithm>
#include <optional>
#include <utility>

namespace egretspindle
{

namespace
{

// Share of the room of a report that queued starts of all racks may count on;
// new steps take some of it before these arrive. In simulations of a full fleet
// (`start_flow_test`) as many starts found a place as with the whole room, with
// a third of the hand-backs.
constexpr double offered_share = 0.25;

// Share of all queued work that waits in racks of this host.
double share_of_queues(const fleet_load& fleet,
                       const std::set<std::string>& own, time_point now)
{
    std::int64_t own_milli = 0;
    std::int64_t all_milli = 0;
    for (const auto& [name, view] : fleet.racks)
    {
        if (is_recent(fleet, view, now))
        {
            all_milli += view.room.queued_cpu_milli;
            own_milli += own.count(name) > 0 ? view.room.queued_cpu_milli : 0;
        }
    }
    return all_milli <= 0 ? 1.0
                          : static_cast<double>(own_milli) /
                                static_cast<double>(all_milli);
}

offered_rack offer_rack(const fleet_load& fleet, const recent_index& recent,
                        const rack_room& room, std::bernoulli_distribution& any,
                        std::minstd_rand& random)
{
    offered_rack offer;
    offer.rack = room.rack;
    const auto on_their_way = recent.cpu_by_rack.find(room.rack);
    offer.spare_cpu_milli =
        -room.queued_cpu_milli -
        (on_their_way == recent.cpu_by_rack.end() ? 0 : on_their_way->second);
    for (const target_room& target : room.targets)
    {
        const auto entry = fleet.targets.find(target.id);
        if (!target.is_open || entry == fleet.targets.end())
        {
            continue;
        }
        const candidate item =
            make_candidate(fleet, recent_index{}, target, entry->second);
        offer.spare_cpu_milli +=
            std::max<std::int64_t>(0, idle_cpu(item.mix, item.room));
        if (any(random))
        {
            const candidate rest =
                make_candidate(fleet, recent, target, entry->second);
            offer.targets.push_back({entry->second, rest.room, rest.mix});
        }
    }
    return offer;
}

std::vector<candidate> candidates_of(const offered_rack& offer,
                                     const step_terms& terms)
{
    std::vector<candidate> items;
    for (const offered_target& target : offer.targets)
    {
        if (matches(target.entry, terms))
        {
            items.push_back({&target.entry, target.room, target.mix, 0});
        }
    }
    return items;
}

// Takes the room of some tasks in one rack, all or none.
bool take_in_rack(offered_rack& offer, const pressure_model& model,
                  const step_terms& terms, std::int64_t count)
{
    if (offer.spare_cpu_milli < count * terms.size.cpu_milli)
    {
        return false;
    }
    std::vector<candidate> items = candidates_of(offer, terms);
    for (std::int64_t n = 0; n < count; ++n)
    {
        candidate* target = best_of(model, items, terms);
        if (target == nullptr)
        {
            return false;
        }
        take_room(model, *target, terms);
    }
    for (const candidate& item : items)
    {
        // Entries of the candidates are those of the offer.
        const auto target =
            std::find_if(offer.targets.begin(), offer.targets.end(),
                         [&item](const offered_target& it)
                         { return &it.entry == item.entry; });
        target->room = item.room;
        target->mix = item.mix;
    }
    offer.spare_cpu_milli -= count * terms.size.cpu_milli;
    return true;
}

} // namespace

room_elsewhere offer_room(const fleet_load& fleet,
                          const std::set<std::string>& own, time_point now,
                          std::minstd_rand& random)
{
    const recent_index recent = index_recent(fleet, now);
    std::bernoulli_distribution any(offered_share *
                                    share_of_queues(fleet, own, now));
    room_elsewhere offers;
    offers.patience = hand_back_period(fleet.period);
    for (const auto& [name, view] : fleet.racks)
    {
        if (!is_recent(fleet, view, now))
        {
            continue;
        }
        offered_rack offer = offer_rack(fleet, recent, view.room, any, random);
        if (!offer.targets.empty())
        {
            offers.racks.push_back(std::move(offer));
        }
    }
    return offers;
}

bool take_offer(room_elsewhere& offers, const pressure_model& model,
                const step_terms& terms, const std::string& rack)
{
    const std::int64_t count = terms.is_gang ? terms.gang_size : 1;
    return std::any_of(offers.racks.begin(), offers.racks.end(),
                       [&](offered_rack& offer) {
                           return offer.rack != rack &&
                                  take_in_rack(offer, model, terms, count);
                       });
}

} // namespace egretspindle
