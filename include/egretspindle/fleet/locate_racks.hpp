/// \file
/// Data centres of racks.

#ifndef EGRETSPINDLE_FLEET_LOCATE_RACKS_HPP
#define EGRETSPINDLE_FLEET_LOCATE_RACKS_HPP

#include "egretspindle/fleet/target_entry.hpp"

#include <map>
#include <string>

namespace egretspindle
{

/// Returns the data centre of each rack: the one that most of its targets name,
/// so that a wrong entry does not move a rack. The first in alphabetical order
/// breaks ties.
///
/// \param targets  the platform's list, by id
[[nodiscard]] std::map<std::string, std::string>
locate_racks(const std::map<std::string, target_entry>& targets);

} // namespace egretspindle

#endif
