/// \file
/// Row of the store that names the owner of a rack.

#ifndef EGRETSPINDLE_OWNERSHIP_OWNER_ROW_HPP
#define EGRETSPINDLE_OWNERSHIP_OWNER_ROW_HPP

#include "egretspindle/ownership/rack_id.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace egretspindle
{

/// Value of an `owner/<data centre>/<rack>` row.
struct owner_row
{
    std::string host;
    std::int64_t incarnation = 0; ///< that the owner's process started with
    std::int64_t epoch = 0;       ///< rises with every write
    /// Earlier owners of which no confirmation is recorded that they stopped
    /// renewing; the last one comes last.
    std::vector<std::string> unreleased;
};

/// Visits the fields of `owner_row` for the codec.
template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const owner_row* /*tag*/)
{
    visit("host", value.host);
    visit("incarnation", value.incarnation);
    visit("epoch", value.epoch);
    visit("unreleased", value.unreleased);
}

/// Returns the prefix of the rows of a data centre.
[[nodiscard]] inline std::string
owner_row_prefix(const std::string& data_center)
{
    return "owner/" + data_center + "/";
}

/// Returns the key of a rack's row.
[[nodiscard]] inline std::string owner_row_key(const rack_id& rack)
{
    return owner_row_prefix(rack.data_center) + rack.rack;
}

} // namespace egretspindle

#endif
