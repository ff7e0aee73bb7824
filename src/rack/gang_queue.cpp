#include "egretspindle/rack/gang_queue.hpp"

#include "target_check.hpp"

#include <algorithm>
#include <map>
#include <string_view>
#include <utility>

namespace egretspindle
{

namespace
{

// The end of the wait has to reach the owner of the job, and the stops of the
// other parts their targets, within the 3 s that members wait for each other.
constexpr milliseconds max_part_wait{1'000};
// Members of a gang arrive in one message or in several that follow each other.
constexpr milliseconds max_incomplete_wait{2'000};
constexpr milliseconds max_overdue_wait{2'000};

/// Queued members of a run of a gang.
struct queued_gang
{
    const step_terms* terms = nullptr;
    std::int64_t size = 0;
    time_point queued_at; ///< of the last member
    bool is_repeated = false;
    bool is_overdue = false;
};

using gang_run = std::pair<std::string_view, std::int64_t>;

std::map<gang_run, queued_gang> find_gangs(const rack_state& rack)
{
    std::map<gang_run, queued_gang> gangs;
    for (const queued_start& start : rack.queue)
    {
        if (!start.terms->is_gang)
        {
            continue;
        }
        queued_gang& gang = gangs[{start.terms->step, start.run}];
        gang.terms = start.terms.get();
        ++gang.size;
        gang.queued_at = std::max(gang.queued_at, start.queued_at);
        gang.is_repeated |= start.is_repeated;
        gang.is_overdue |= start.is_overdue;
    }
    return gangs;
}

bool waits_in_vain(const rack_state& rack, const queued_gang& gang,
                   time_point now)
{
    if (gang.is_repeated)
    {
        return false;
    }
    const auto waited = now - gang.queued_at;
    return (gang.terms->is_part_of_gang && waited >= max_part_wait) ||
           (gang.size < gang.terms->gang_size &&
            waited >= max_incomplete_wait) ||
           (gang.is_overdue && waited >= max_overdue_wait &&
            is_lightly_used(rack, gang.terms->service));
}

run_event hand_back_start(const queued_start& start, time_point now)
{
    run_event event;
    event.what = run_event::kind::ended;
    event.task = start.task;
    event.run = start.run;
    event.how = run_end::not_started;
    event.cause = end_cause::handed_back;
    event.checkpoint = start.checkpoint;
    event.waited =
        std::chrono::duration_cast<milliseconds>(now - start.queued_at);
    return event;
}

} // namespace

std::vector<run_event> hand_back_gangs(rack_state& rack, time_point now)
{
    std::vector<run_event> events;
    if (rack.is_fenced)
    {
        return events;
    }
    const std::map<gang_run, queued_gang> gangs = find_gangs(rack);
    if (gangs.empty())
    {
        return events;
    }
    std::vector<queued_start> remaining;
    // `terms` are kept alive, as the keys of `gangs` refer to their names.
    std::vector<queued_start> removed;
    for (queued_start& start : rack.queue)
    {
        const bool is_removed =
            start.terms->is_gang &&
            waits_in_vain(rack, gangs.at({start.terms->step, start.run}), now);
        (is_removed ? removed : remaining).push_back(std::move(start));
    }
    rack.queue = std::move(remaining);
    for (const queued_start& start : removed)
    {
        events.push_back(hand_back_start(start, now));
    }
    remember_ends(rack, events);
    return events;
}

} // namespace egretspindle
