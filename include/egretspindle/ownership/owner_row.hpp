/// \file
/// Store row that records the owner of a rack.

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
    std::int64_t incarnation = 0; ///< of the owner's process when it started
    std::int64_t epoch = 0;       ///< increases with every write
    /// Earlier owners that had not confirmed the end of their renewals when
    /// the row was written; the most recent one comes last.
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

/// Returns the key prefix of all owner rows of a data centre.
[[nodiscard]] inline std::string
owner_row_prefix(const std::string& data_center)
{
    return "owner/" + data_center + "/";
}

/// Returns the key of the owner row of a rack.
[[nodiscard]] inline std::string owner_row_key(const rack_id& rack)
{
    return owner_row_prefix(rack.data_center) + rack.rack;
}

} // namespace egretspindle

#endif
