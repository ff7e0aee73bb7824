/// \file
/// Free processors of the targets over the time of a soak.

#ifndef EGRETSPINDLE_BENCH_SOAK_TARGET_CAPACITY_HPP
#define EGRETSPINDLE_BENCH_SOAK_TARGET_CAPACITY_HPP

#include "soak_record.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace egretspindle::bench
{

/// Processors of the targets at one moment, in thousandths. Targets that are
/// down or that a fault has affected lately are left out.
struct target_capacity
{
    std::int64_t total_milli = 0;
    std::int64_t used_milli = 0;
    std::vector<std::int64_t> free_milli; ///< of each target

    /// Returns how many tasks of this size the targets can take.
    [[nodiscard]] std::int64_t count_places(std::int64_t cpu_milli) const;
};

/// Returns the processors of the targets at a time.
[[nodiscard]] target_capacity capacity_at(const soak_record& record,
                                          std::int64_t at_ms);

} // namespace egretspindle::bench

#endif
