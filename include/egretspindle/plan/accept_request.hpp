/// \file
/// Request to accept the whole plan document.

#ifndef EGRETSPINDLE_PLAN_ACCEPT_REQUEST_HPP
#define EGRETSPINDLE_PLAN_ACCEPT_REQUEST_HPP

#include <cstdint>
#include <string>

namespace egretspindle
{

/// Request to accept the document with the digest that was reviewed.
struct accept_request
{
    std::string digest; ///< SHA-256 of the whole document
    /// Accepted version at the time of the review; -1 if not given. If given, a
    /// repeated request gets the result of the first one.
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
