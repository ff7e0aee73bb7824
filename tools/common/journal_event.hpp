/// \file
/// Line of a target's journal.

#ifndef EGRETSPINDLE_TOOLS_COMMON_JOURNAL_EVENT_HPP
#define EGRETSPINDLE_TOOLS_COMMON_JOURNAL_EVENT_HPP

#include <cstdint>
#include <string>

namespace egretspindle::standin
{

/// Event recorded by a target. Events: `boot`, `start`, `end`, `stop`,
/// `lease_lapse`, `tombstone`, `overload`, and `tick`, which is written about
/// every 25 ms while a task executes and shows until when a killed target
/// executed.
struct journal_event
{
    std::string event;
    std::int64_t wall_ms = 0; ///< time of the event, Unix epoch
    std::string target;
    std::string boot_id;
    std::string key;
    int attempt = 0;
    std::string team;
    std::string kind;
    bool urgent = false;
    std::int64_t epoch = 0;
    std::int64_t term = 0;
    bool ok = false;               ///< of `end`
    double done_ms = 0;            ///< work done; of `start`: done before
    std::int64_t last_tick_ms = 0; ///< last execution, Unix epoch; 0 for none
    std::string detail;
};

/// Visits the fields of `journal_event` for the codec.
template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const journal_event* /*tag*/)
{
    visit("event", value.event);
    visit("wall_ms", value.wall_ms);
    visit("target", value.target);
    visit("boot_id", value.boot_id);
    visit("key", value.key);
    visit("attempt", value.attempt);
    visit("team", value.team);
    visit("kind", value.kind);
    visit("urgent", value.urgent);
    visit("epoch", value.epoch);
    visit("term", value.term);
    visit("ok", value.ok);
    visit("done_ms", value.done_ms);
    visit("last_tick_ms", value.last_tick_ms);
    visit("detail", value.detail);
}

} // namespace egretspindle::standin

#endif
