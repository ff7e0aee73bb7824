/// \file
/// Merged pressures by numbers of images.

#ifndef EGRETSPINDLE_RACK_INTERFERENCE_TABLE_HPP
#define EGRETSPINDLE_RACK_INTERFERENCE_TABLE_HPP

#include "egretspindle/rack/image_name.hpp"

#include <cstddef>
#include <vector>

namespace egretspindle
{

/// What an image does to a serving image.
struct pair_effect
{
    double per_core = 0; ///< headroom that each core takes
    bool is_harmful = false;
};

/// Effects of all pairs of known images.
struct interference_table
{
    // By the number of an image; 0: not known.
    std::vector<std::size_t> rows;    ///< of serving images, from 1
    std::vector<std::size_t> columns; ///< of filling images, from 1
    std::size_t width = 0;            ///< columns of `effects`
    std::vector<pair_effect> effects;
};

/// Returns the position of an image, 0 when it is not known.
[[nodiscard]] inline std::size_t
position_of(const std::vector<std::size_t>& positions,
            const image_name& image) noexcept
{
    return image.number() < positions.size() ? positions[image.number()] : 0;
}

/// Returns the effect of a known pair, null for others.
[[nodiscard]] inline const pair_effect*
find_effect(const interference_table& table, const image_name& serving,
            const image_name& backfill) noexcept
{
    const std::size_t row = position_of(table.rows, serving);
    const std::size_t column = position_of(table.columns, backfill);
    return row == 0 || column == 0
               ? nullptr
               : &table.effects[(row - 1) * table.width + column - 1];
}

} // namespace egretspindle

#endif
