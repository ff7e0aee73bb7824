/// \file
/// Options of the stand-in platform.

#ifndef EGRETSPINDLE_TOOLS_STANDIN_PLATFORM_PLATFORM_OPTIONS_HPP
#define EGRETSPINDLE_TOOLS_STANDIN_PLATFORM_PLATFORM_OPTIONS_HPP

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace egretspindle::standin
{

/// Fixed properties of a simulated target.
struct simulated_target_options
{
    std::string name;
    std::string listen;  ///< `ip:port` of the server
    std::string address; ///< `ip:port` in the list of targets
    std::string data_center;
    std::string rack;
    std::int64_t cpu_milli = 8'000;
    std::int64_t memory_mb = 16'000;
    std::int64_t max_lease_ms = 10'000;
    std::int64_t stop_time_ms = 200;
    unsigned seed = 1;
};

/// Options of the stand-in platform.
struct platform_options
{
    std::string control; ///< `ip:port`
    std::string journal; ///< file; empty: none
    unsigned seed = 1;
    std::int64_t max_lease_ms = 10'000;
    /// Failed runs of a task after which its job has failed.
    std::int64_t max_attempts = 100'000;
    /// Name and `ip:port` of the store for one caller.
    std::vector<std::pair<std::string, std::string>> stores;
    std::vector<simulated_target_options> targets;
};

} // namespace egretspindle::standin

#endif
