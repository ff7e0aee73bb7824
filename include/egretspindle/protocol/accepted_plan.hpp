/// \file
/// Accepted plan document.

#ifndef EGRETSPINDLE_PROTOCOL_ACCEPTED_PLAN_HPP
#define EGRETSPINDLE_PROTOCOL_ACCEPTED_PLAN_HPP

#include <cstdint>
#include <string>

namespace egretspindle
{

/// Accepted version of the plan document.
struct accepted_plan
{
    std::int64_t version = 0;
    std::string digest;   ///< SHA-256 of the document
    std::string document; ///< TOML text
    std::string accepted_by;
    std::int64_t accepted_unix_ms = 0;
};

/// Visits the fields of `accepted_plan` for the codec.
template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const accepted_plan* /*tag*/)
{
    visit("version", value.version);
    visit("digest", value.digest);
    visit("document", value.document);
    visit("accepted_by", value.accepted_by);
    visit("accepted_unix_ms", value.accepted_unix_ms);
}

} // namespace egretspindle

#endif
