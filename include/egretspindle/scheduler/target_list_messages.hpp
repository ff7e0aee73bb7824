/// \file
/// Messages by which a host follows the list of targets of another host.

#ifndef EGRETSPINDLE_SCHEDULER_TARGET_LIST_MESSAGES_HPP
#define EGRETSPINDLE_SCHEDULER_TARGET_LIST_MESSAGES_HPP

#include "egretspindle/fleet/target_journal.hpp"

#include <cstdint>

namespace egretspindle
{

/// Request for the changes of a list. The receiver answers when it has read the
/// store again, when its list is out of date, or after the wait.
struct target_list_request
{
    std::int64_t boot = 0;          ///< of the receiver, by its last reply
    std::int64_t revision = 0;      ///< of that reply; 0: the whole list
    std::int64_t known_version = 0; ///< of the store, by that reply
    std::int64_t min_version = 0; ///< of the store that the reply must reflect
    std::int64_t wait_ms = 0;     ///< longest time until the reply
};

/// Visits the fields of `target_list_request` for the codec.
template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value,
                  const target_list_request* /*tag*/)
{
    visit("boot", value.boot);
    visit("revision", value.revision);
    visit("known_version", value.known_version);
    visit("min_version", value.min_version);
    visit("wait_ms", value.wait_ms);
}

/// Changes of a list.
struct target_list_reply
{
    /// The receiver has read the list lately and reached `min_version`; else
    /// the other fields have no meaning.
    bool is_current = false;
    std::int64_t boot = 0;    ///< start of the receiver's process, Unix ms
    std::int64_t version = 0; ///< of the store that the list reflects
    std::int64_t age_ms = 0;  ///< since the start of the read of the store
    target_delta changes;
};

/// Visits the fields of `target_list_reply` for the codec.
template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value,
                  const target_list_reply* /*tag*/)
{
    visit("current", value.is_current);
    visit("boot", value.boot);
    visit("version", value.version);
    visit("age_ms", value.age_ms);
    visit("whole", value.changes.is_whole);
    visit("entries", value.changes.entries);
    visit("removed", value.changes.removed);
    visit("revision", value.changes.revision);
}

} // namespace egretspindle

#endif
