/// \file
/// Identity of a rack.

#ifndef EGRETSPINDLE_OWNERSHIP_RACK_ID_HPP
#define EGRETSPINDLE_OWNERSHIP_RACK_ID_HPP

#include <string>
#include <tuple>

namespace egretspindle
{

/// Rack name, unique within its data centre.
struct rack_id
{
    std::string data_center;
    std::string rack;
};

/// Orders racks by data centre, then name.
[[nodiscard]] inline bool operator<(const rack_id& lhs, const rack_id& rhs)
{
    return std::tie(lhs.data_center, lhs.rack) <
           std::tie(rhs.data_center, rhs.rack);
}

/// Returns whether both identify the same rack.
[[nodiscard]] inline bool operator==(const rack_id& lhs, const rack_id& rhs)
{
    return lhs.data_center == rhs.data_center && lhs.rack == rhs.rack;
}

} // namespace egretspindle

#endif
