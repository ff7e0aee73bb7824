/// \file
/// Leaving hosts in the plan document.

#ifndef EGRETSPINDLE_PLAN_HOSTS_SECTION_HPP
#define EGRETSPINDLE_PLAN_HOSTS_SECTION_HPP

#include <string>
#include <vector>

namespace egretspindle
{

/// Section `hosts`: hosts that must not receive new work.
struct hosts_section
{
    std::string team; ///< owner of the section
    std::vector<std::string> leaving;
};

} // namespace egretspindle

#endif
