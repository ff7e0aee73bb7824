/// \file
/// Row of a section in the store.

#ifndef EGRETSPINDLE_PLAN_PLAN_SECTION_HPP
#define EGRETSPINDLE_PLAN_PLAN_SECTION_HPP

#include <cstdint>
#include <string>

namespace egretspindle
{

/// Section being edited. It takes effect when a supervisor accepts the document
/// that contains it.
struct plan_section
{
    std::string name;         ///< for example `team.rota`
    std::string owner;        ///< team that may edit it
    std::string text;         ///< TOML without the section's header
    std::int64_t version = 0; ///< of the row; rises with every edit
    /// Rows of removed sections are kept, so that a section that is added again
    /// does not reuse a version.
    bool removed = false;
    std::string edited_by;
    std::int64_t edited_unix_ms = 0;
    std::string tx_id; ///< transaction that wrote it
};

/// Visits the fields of `plan_section` for the codec.
template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const plan_section* /*tag*/)
{
    visit("name", value.name);
    visit("owner", value.owner);
    visit("text", value.text);
    visit("version", value.version);
    visit("removed", value.removed);
    visit("edited_by", value.edited_by);
    visit("edited_unix_ms", value.edited_unix_ms);
    visit("tx_id", value.tx_id);
}

} // namespace egretspindle

#endif
