/// \file
/// Usage measurement of one task with its kind.

#ifndef EGRETSPINDLE_PLACEMENT_USAGE_SAMPLE_HPP
#define EGRETSPINDLE_PLACEMENT_USAGE_SAMPLE_HPP

#include <string>

namespace egretspindle
{

/// Delayed usage measurement of a task; the owner adds the kind.
struct usage_sample
{
    std::string key;
    int attempt = 0;
    std::string kind;
    double cpu_cores = 0;
    double memory_mb = 0;
    double reserved_cores = 0; ///< limit under which the use was measured
    double progress = 0; ///< speed relative to running alone; 0 if unknown
};

} // namespace egretspindle

#endif
