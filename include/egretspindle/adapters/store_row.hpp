/// \file
/// Row of the platform's table.

#ifndef EGRETSPINDLE_ADAPTERS_STORE_ROW_HPP
#define EGRETSPINDLE_ADAPTERS_STORE_ROW_HPP

#include <cstdint>
#include <string>

namespace egretspindle
{

/// Key, version and value; version 0 means absent.
struct store_row
{
    std::string key;
    std::int64_t version = 0;
    std::string value;
};

/// Visits the fields of `store_row` for the codec.
template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const store_row* /*tag*/)
{
    visit("key", value.key);
    visit("version", value.version);
    visit("value", value.value);
}

} // namespace egretspindle

#endif
