/// \file
/// Body of an HTTP error response.

#ifndef EGRETSPINDLE_NET_ERROR_REPLY_HPP
#define EGRETSPINDLE_NET_ERROR_REPLY_HPP

#include <string>

namespace egretspindle
{

/// Kind and message of an error.
struct error_detail
{
    std::string kind;    ///< wire name of an `error_kind`
    std::string message; ///< says what to do about it
};

/// Visits the fields of `error_detail` for the codec.
template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const error_detail* /*tag*/)
{
    visit("kind", value.kind);
    visit("message", value.message);
}

/// Body of the form `{"error":{"kind":...,"message":...}}`.
struct error_reply
{
    error_detail error;
};

/// Visits the fields of `error_reply` for the codec.
template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const error_reply* /*tag*/)
{
    visit("error", value.error);
}

} // namespace egretspindle

#endif
