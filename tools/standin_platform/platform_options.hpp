/// \file
/// Options of the stand-in.

#ifndef EGRETSPINDLE_TOOLS_STANDIN_PLATFORM_PLATFORM_OPTIONS_HPP
#define EGRETSPINDLE_TOOLS_STANDIN_PLATFORM_PLATFORM_OPTIONS_HPP

#include "machine_options.hpp"

#include <string>
#include <utility>
#include <vector>

namespace egretspindle::standin
{

/// Options of the stand-in.
struct platform_options
{
    std::string control; ///< `ip:port`
    std::string journal; ///< file; empty: none
    unsigned seed = 1;
    std::int64_t longest_lease_ms = 10'000;
    /// Name and `ip:port` of the store for one caller.
    std::vector<std::pair<std::string, std::string>> stores;
    std::vector<machine_options> targets;
};

} // namespace egretspindle::standin

#endif
