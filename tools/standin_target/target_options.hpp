/// \file
/// Command-line options of the stand-in target.

#ifndef EGRETSPINDLE_TOOLS_STANDIN_TARGET_TARGET_OPTIONS_HPP
#define EGRETSPINDLE_TOOLS_STANDIN_TARGET_TARGET_OPTIONS_HPP

#include "egretspindle/core/resources.hpp"

#include <map>
#include <string>
#include <utility>

namespace egretspindle::standin
{

/// Slowdown of the first kind by the second; see `rate_of`.
using interference_table =
    std::map<std::pair<std::string, std::string>, double>;

/// Options of the command line.
struct target_options
{
    std::string listen;
    std::string name = "target";
    std::string journal;
    int slots = 8;
    int connections = 60;
    resources capacity{32, 125'000, 0};
    long usage_lag_ms = 1000;
    bool has_guards = true; ///< throttle tasks above their reserved cores
    bool fail_all = false;
    interference_table interference;
};

/// Parses the command line.
///
/// \returns false, after printing the usage, when it is wrong
[[nodiscard]] bool parse_options(int argc, char** argv, target_options& result);

} // namespace egretspindle::standin

#endif
