/// \file
/// Line of the store's journal.

#ifndef EGRETSPINDLE_TOOLS_COMMON_STORE_EVENT_HPP
#define EGRETSPINDLE_TOOLS_COMMON_STORE_EVENT_HPP

#include <cstdint>
#include <string>

namespace egretspindle::standin
{

/// A committed write.
struct store_event
{
    std::int64_t wall_ms = 0; ///< Unix epoch
    std::string tx_id;
    std::string key;
    std::int64_t version = 0; ///< 0 for a deletion
    std::string value;
};

/// Visits the fields of `store_event` for the codec.
template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const store_event* /*tag*/)
{
    visit("wall_ms", value.wall_ms);
    visit("tx_id", value.tx_id);
    visit("key", value.key);
    visit("version", value.version);
    visit("value", value.value);
}

} // namespace egretspindle::standin

#endif
