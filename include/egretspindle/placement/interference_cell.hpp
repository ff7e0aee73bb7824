/// \file
/// Slowdown of one kind by another.

#ifndef EGRETSPINDLE_PLACEMENT_INTERFERENCE_CELL_HPP
#define EGRETSPINDLE_PLACEMENT_INTERFERENCE_CELL_HPP

#include "egretspindle/core/clock.hpp"

#include <array>
#include <cstddef>
#include <cstdint>

namespace egretspindle
{

/// Ranges of target load for which slowdowns are kept apart.
constexpr std::size_t load_band_count = 3;

/// Relative slowdown per co-running task, by band of target load.
struct interference_cell
{
    std::array<double, load_band_count> slowdown{};
    std::array<double, load_band_count> weight{}; ///< decaying sample count
    time_point updated;
};

} // namespace egretspindle

#endif
