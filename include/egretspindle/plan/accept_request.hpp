/// \file
/// Acceptance of the whole plan document.

#ifndef EGRETSPINDLE_PLAN_ACCEPT_REQUEST_HPP
#define EGRETSPINDLE_PLAN_ACCEPT_REQUEST_HPP

#include <cstdint>
#include <string>

namespace egretspindle
{

/// Names the document as it was reviewed.
struct accept_request
{
    std::string digest; ///< SHA-256 of the whole document
    /// Accepted version at the review; -1 when not given. A repeated request
    /// with it gets the result of the first.
    std::int64_t base_version = -1;
};

/// Visits the fields of `accept_request` for the codec.
template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const accept_request* /*tag*/)
{
    visit("digest", value.digest);
    visit("base_version", value.base_version);
}

} // namespace egretspindle

#endif
