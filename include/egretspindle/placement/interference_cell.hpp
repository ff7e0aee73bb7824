/// \file
/// Learned slowdown of one kind of task by another.

#ifndef EGRETSPINDLE_PLACEMENT_INTERFERENCE_CELL_HPP
#define EGRETSPINDLE_PLACEMENT_INTERFERENCE_CELL_HPP

#include "egretspindle/core/clock.hpp"

#include <array>
#include <cstddef>
#include <cstdint>

namespace egretspindle
{

/// Number of ranges of target load with separate slowdowns.
constexpr std::size_t load_band_count = 3;

/// Slowdown per co-running task, as a fraction of the run time without
/// interference, by band of the target load. The bands are defined by
/// `detail::load_band`.
struct interference_cell
{
    std::array<double, load_band_count> slowdown{};
    std::array<double, load_band_count>
        weight{}; ///< effective number of samples, as of `updated`
    time_point updated;
};

} // namespace egretspindle

#endif
