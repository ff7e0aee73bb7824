/// \file
/// Merged interference of all pairs of images as a dense table.

#ifndef EGRETSPINDLE_RACK_INTERFERENCE_TABLE_HPP
#define EGRETSPINDLE_RACK_INTERFERENCE_TABLE_HPP

#include "egretspindle/rack/image_name.hpp"

#include <cstddef>
#include <vector>

namespace egretspindle
{

/// Effect of a backfill image on a serving image.
struct pair_effect
{
    double per_core = 0;     ///< headroom lost per core of the backfill task
    bool is_harmful = false; ///< see `is_harmful_pair`
};

/// Effects of all pairs of a serving image and a backfill image that occur in
/// `interference_model::merged`, also of pairs that were not observed together.
struct interference_table
{
    // Both indexed by `image_name::number`; 0: image not known.
    std::vector<std::size_t> rows;    ///< of serving images, from 1
    std::vector<std::size_t> columns; ///< of backfill images, from 1
    std::size_t width = 0;            ///< columns of `effects`
    std::vector<pair_effect> effects; ///< row by row
};

/// Returns the row or column of an image, 0 when it is not known.
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
