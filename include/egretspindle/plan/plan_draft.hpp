/// \file
/// Sections being edited and the document assembled from them.

#ifndef EGRETSPINDLE_PLAN_PLAN_DRAFT_HPP
#define EGRETSPINDLE_PLAN_PLAN_DRAFT_HPP

#include "egretspindle/plan/plan_section.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace egretspindle
{

/// All sections, and the document assembled from them.
struct plan_draft
{
    std::vector<plan_section> sections;
    std::string document;
    std::string digest;                ///< SHA-256 of `document`
    std::int64_t accepted_version = 0; ///< last accepted; 0 for none
    bool is_break = false;             ///< whether the plan may be changed now
};

/// Visits the fields of `plan_draft` for the codec.
template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const plan_draft* /*tag*/)
{
    visit("sections", value.sections);
    visit("document", value.document);
    visit("digest", value.digest);
    visit("accepted_version", value.accepted_version);
    visit("is_break", value.is_break);
}

} // namespace egretspindle

#endif
