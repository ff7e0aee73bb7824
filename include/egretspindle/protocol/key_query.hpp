/// \file
/// Reference to a request.

#ifndef EGRETSPINDLE_PROTOCOL_KEY_QUERY_HPP
#define EGRETSPINDLE_PROTOCOL_KEY_QUERY_HPP

#include <cstdint>
#include <string>

namespace egretspindle
{

/// Key of a request, and how long to wait for its end.
struct key_query
{
    std::string key;
    std::int64_t wait_ms = 0;
};

/// Visits the fields of `key_query` for the codec.
template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const key_query* /*tag*/)
{
    visit("key", value.key);
    visit("wait_ms", value.wait_ms);
}

} // namespace egretspindle

#endif
