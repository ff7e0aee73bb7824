#include "egretspindle/request_path/peer_rack_router.hpp"

#include "egretspindle/core/error.hpp"
#include "egretspindle/placement/choose_racks.hpp"
#include "egretspindle/protocol/message_type.hpp"
#include "egretspindle/protocol/peer_client.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace egretspindle
{

namespace
{

// Covers the two calls that a rack owner makes to a target that does not
// respond.
constexpr milliseconds call_timeout{2500};
constexpr milliseconds find_timeout{500};
// Racks of a data centre that are asked in turn before it is considered full.
constexpr std::size_t max_local_candidates = 4;

bool can_accept_work(const member_digest& member)
{
    return member.state == "alive" || member.state == "suspect";
}

int free_slots_of(const member_digest& member)
{
    int n = 0;
    for (const rack_summary& rack : member.racks)
    {
        n += rack.free_slots;
    }
    return n;
}

} // namespace

peer_rack_router::peer_rack_router(rack_table& racks,
                                   membership_service& members,
                                   rpc_client& client,
                                   list_racks_function list_racks)
    : racks_(racks), members_(members), client_(client),
      list_racks_(std::move(list_racks)), rng_(std::random_device{}())
{
}

std::vector<rack_summary> peer_rack_router::summaries() const
{
    std::vector<rack_summary> all;
    std::set<std::string> seen;
    for (const std::shared_ptr<rack_runtime>& runtime : racks_.all())
    {
        all.push_back(runtime->summary());
        seen.insert(all.back().rack);
    }
    const std::string& data_center = members_.options().data_center;
    const std::vector<member_digest> members = members_.members();
    // A leaving host serves its racks until the next owners have taken over.
    for (const bool is_leaving : {false, true})
    {
        for (const member_digest& member : members)
        {
            const bool is_usable = is_leaving ? member.state == "leaving"
                                              : can_accept_work(member);
            if (member.data_center != data_center || !is_usable ||
                member.name == members_.options().name)
            {
                continue;
            }
            for (const rack_summary& rack : member.racks)
            {
                if (seen.insert(rack.rack).second)
                {
                    all.push_back(rack);
                }
            }
        }
    }
    return all;
}

std::vector<rack_candidate>
peer_rack_router::candidates(const request_spec& spec)
{
    const std::string& data_center = members_.options().data_center;
    const std::vector<rack_summary> racks = summaries();
    std::vector<std::size_t> order;
    {
        const std::lock_guard<std::mutex> lock(rng_mutex_);
        order =
            choose_racks(racks, make_task_request(spec, 1, std::nullopt), rng_);
    }
    if (order.size() > max_local_candidates)
    {
        order.resize(max_local_candidates);
    }
    std::vector<rack_candidate> found;
    // For urgent work, all racks are asked for free capacity before any may
    // evict batch tasks. This reduces evictions from 142-254 to 0-18 a minute.
    for (const bool may_evict : {false, true})
    {
        for (const std::size_t n : order)
        {
            if (may_evict || spec.urgent)
            {
                found.push_back({data_center, racks[n].rack, may_evict});
            }
        }
    }
    std::vector<std::pair<int, std::string>> others;
    for (const member_digest& member : members_.members())
    {
        const int n = free_slots_of(member);
        const bool is_known =
            std::any_of(others.begin(), others.end(),
                        [&](const std::pair<int, std::string>& item)
                        { return item.second == member.data_center; });
        if (member.data_center != data_center && can_accept_work(member) &&
            n > 0 && !is_known && members_.is_reachable(member.data_center))
        {
            others.emplace_back(n, member.data_center);
        }
    }
    std::sort(others.rbegin(), others.rend());
    for (const auto& [n, name] : others)
    {
        found.push_back({name, "", true});
    }
    return found;
}

absl::StatusOr<std::string>
peer_rack_router::owner_address(const std::string& data_center,
                                const std::string& rack)
{
    const bool is_local = data_center == members_.options().data_center;
    if (!is_local)
    {
        const std::vector<std::string> hosts = members_.live_hosts(data_center);
        if (!hosts.empty())
        {
            const std::lock_guard<std::mutex> lock(rng_mutex_);
            return members_.address_of(hosts[rng_() % hosts.size()]);
        }
    }
    const member_digest* best = nullptr;
    std::int64_t best_epoch = -1;
    const std::vector<member_digest> all = members_.members();
    for (const member_digest& member : all)
    {
        if (!is_local || member.data_center != data_center ||
            member.name == members_.options().name || member.state == "dead")
        {
            continue;
        }
        for (const rack_summary& summary : member.racks)
        {
            if (summary.rack == rack && summary.epoch > best_epoch)
            {
                best = &member;
                best_epoch = summary.epoch;
            }
        }
    }
    if (best == nullptr)
    {
        return make_error(
            error_kind::unavailable,
            fmt::format("no owner of rack '{}' in '{}' is known; try again "
                        "in a few seconds",
                        rack, data_center));
    }
    return members_.address_of(best->name);
}

// Sends a message to the owner of its rack. For a rack of another data centre,
// it goes to a live host there, which relays it to the owner.
template <typename Reply, typename Message>
absl::StatusOr<Reply> peer_rack_router::forward_to_owner(std::string_view type,
                                                         const Message& message)
{
    const absl::StatusOr<std::string> address =
        owner_address(message.data_center, message.rack);
    if (!address.ok())
    {
        return address.status();
    }
    Message relayed = message;
    relayed.relayed = message.data_center == members_.options().data_center;
    return call_peer<Reply>(client_, *address, type, relayed,
                            call_timeout + milliseconds(message.wait_ms));
}

absl::StatusOr<place_reply>
peer_rack_router::place(const place_request& request)
{
    const bool is_local = request.data_center == members_.options().data_center;
    if (is_local && request.rack.empty())
    {
        return place_on_any_rack(request);
    }
    if (is_local)
    {
        if (const std::shared_ptr<rack_runtime> runtime =
                racks_.find(request.rack))
        {
            place_reply reply = runtime->place(request);
            reply.data_center = request.data_center;
            return reply;
        }
        if (request.relayed)
        {
            return make_error(error_kind::stale_epoch,
                              "this host does not own the rack; look up its "
                              "owner again");
        }
    }
    return forward_to_owner<place_reply>(message_type::place, request);
}

absl::StatusOr<place_reply>
peer_rack_router::place_on_any_rack(const place_request& request)
{
    absl::StatusOr<place_reply> last = place_reply{};
    last->reason = "no rack of the data centre has room";
    for (const rack_candidate& candidate : candidates(request.spec))
    {
        if (candidate.data_center != request.data_center)
        {
            break;
        }
        place_request chosen = request;
        chosen.rack = candidate.rack;
        chosen.may_evict = candidate.may_evict;
        last = place(chosen);
        const bool is_refused =
            last.ok() ? !last->placed && !last->may_have_started
                      : kind_of(last.status()) != error_kind::deadline_exceeded;
        if (!is_refused)
        {
            return last;
        }
    }
    return last;
}

absl::StatusOr<task_report>
peer_rack_router::call_owner(std::string_view type, query_function function,
                             const task_query& query)
{
    const bool is_local = query.data_center == members_.options().data_center;
    if (is_local)
    {
        if (const std::shared_ptr<rack_runtime> runtime =
                racks_.find(query.rack))
        {
            return (runtime.get()->*function)(query);
        }
        if (query.relayed)
        {
            return make_error(error_kind::stale_epoch,
                              "this host does not own the rack; look up its "
                              "owner again");
        }
    }
    return forward_to_owner<task_report>(type, query);
}

absl::StatusOr<task_report>
peer_rack_router::task_state(const task_query& query)
{
    return call_owner(message_type::task_state, &rack_runtime::query_task,
                      query);
}

absl::StatusOr<task_report> peer_rack_router::stop(const task_query& query)
{
    return call_owner(message_type::task_stop, &rack_runtime::stop_task, query);
}

absl::Status peer_rack_router::acknowledge(const task_query& query)
{
    const bool is_local = query.data_center == members_.options().data_center;
    if (is_local)
    {
        if (const std::shared_ptr<rack_runtime> runtime =
                racks_.find(query.rack))
        {
            return runtime->acknowledge(query);
        }
        if (query.relayed)
        {
            // The rack owner reports the end itself and acknowledges it then.
            return absl::OkStatus();
        }
    }
    return forward_to_owner<task_query>(message_type::task_ack, query).status();
}

find_reply peer_rack_router::find_local(const find_request& request) const
{
    find_reply reply;
    for (const std::shared_ptr<rack_runtime>& runtime : racks_.all())
    {
        for (const task_report& report :
             runtime->find(request.key, request.fence_attempt))
        {
            reply.reports.push_back(report);
        }
        if (runtime->knows_all_attempts())
        {
            reply.racks.push_back(runtime->summary().rack);
        }
    }
    return reply;
}

absl::StatusOr<std::vector<task_report>>
peer_rack_router::find(const find_request& request)
{
    const find_reply own = find_local(request);
    std::vector<task_report> reports = own.reports;
    std::set<std::string> covered(own.racks.begin(), own.racks.end());
    const std::string& data_center = members_.options().data_center;
    for (const std::string& host : members_.live_hosts(data_center))
    {
        if (host == members_.options().name)
        {
            continue;
        }
        const absl::StatusOr<find_reply> reply =
            call_peer<find_reply>(client_, members_.address_of(host),
                                  message_type::find, request, find_timeout);
        if (reply.ok())
        {
            reports.insert(reports.end(), reply->reports.begin(),
                           reply->reports.end());
            covered.insert(reply->racks.begin(), reply->racks.end());
        }
    }
    for (const std::string& rack : list_racks_())
    {
        if (covered.count(rack) == 0)
        {
            return make_error(error_kind::unavailable,
                              fmt::format("rack '{}' could not be searched; "
                                          "try again in a few seconds",
                                          rack));
        }
    }
    return reports;
}

} // namespace egretspindle
