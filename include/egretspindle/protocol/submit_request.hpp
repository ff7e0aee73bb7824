/// \file
/// Submission of a request, forwarded to its coordinator.

#ifndef EGRETSPINDLE_PROTOCOL_SUBMIT_REQUEST_HPP
#define EGRETSPINDLE_PROTOCOL_SUBMIT_REQUEST_HPP

#include "egretspindle/core/request_spec.hpp"

#include <cstdint>

namespace egretspindle
{

/// Request of a caller, and how long the caller waits for its end.
struct submit_request
{
    request_spec spec;
    std::int64_t wait_ms = 0;
};

/// Visits the fields of `submit_request` for the codec.
template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const submit_request* /*tag*/)
{
    visit("spec", value.spec);
    visit("wait_ms", value.wait_ms);
}

} // namespace egretspindle

#endif
