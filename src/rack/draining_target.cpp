#include "egretspindle/rack/draining_target.hpp"

#include <algorithm>
#include <map>

namespace egretspindle
{

namespace
{

// Time before the end of a target at which its runs move. The list may be 1.5 s
// old, and a stop gets two attempts (`rack_agent_limits::order_timeout`).
constexpr milliseconds time_to_move{3'000};
// Limit of the listed time until a target ends: entries of the platform's list
// may have any value.
constexpr std::int64_t max_remaining_ms = 3'600'000;

bool is_movable(const placed_run& run)
{
    return run.terms && run.terms->is_long_running && !run.terms->is_gang &&
           run.is_confirmed && !run.is_stopping && !run.is_ended;
}

} // namespace

void set_entry(rack_target& target, const target_entry& entry, time_point now)
{
    const bool is_news = !target.entry.is_draining ||
                         target.entry.remaining_ms != entry.remaining_ms;
    if (entry.is_draining && is_news)
    {
        target.ends_at = now + milliseconds(std::clamp<std::int64_t>(
                                   entry.remaining_ms, 0, max_remaining_ms));
    }
    target.entry = entry;
}

std::vector<run_id> decide_moves(rack_target& target,
                                 const room_check& has_room, time_point now)
{
    std::vector<run_id> moved;
    if (!target.entry.is_draining || now < target.ends_at - time_to_move)
    {
        return moved;
    }
    std::map<const step_terms*, bool> checked;
    for (auto& [id, run] : target.runs)
    {
        if (!is_movable(run))
        {
            continue;
        }
        const auto [it, is_new] = checked.emplace(run.terms.get(), false);
        if (is_new)
        {
            it->second = has_room(*run.terms);
        }
        if (it->second)
        {
            run.is_stopping = true;
            moved.push_back(id);
        }
    }
    return moved;
}

} // namespace egretspindle
