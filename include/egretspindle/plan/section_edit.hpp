/// \file
/// Change of one section of the plan.

#ifndef EGRETSPINDLE_PLAN_SECTION_EDIT_HPP
#define EGRETSPINDLE_PLAN_SECTION_EDIT_HPP

#include <cstdint>
#include <string>

namespace egretspindle
{

/// New text of a section, or its removal.
struct section_edit
{
    std::string name;
    std::string text;              ///< TOML without the section's header
    std::int64_t base_version = 0; ///< version edited; 0 for a new section
    bool remove = false;
};

/// Visits the fields of `section_edit` for the codec.
template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const section_edit* /*tag*/)
{
    visit("name", value.name);
    visit("text", value.text);
    visit("base_version", value.base_version);
    visit("remove", value.remove);
}

} // namespace egretspindle

#endif
