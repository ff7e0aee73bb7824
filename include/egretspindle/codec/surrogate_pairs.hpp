/// \file
/// Check of escaped UTF-16 in JSON text.

#ifndef EGRETSPINDLE_CODEC_SURROGATE_PAIRS_HPP
#define EGRETSPINDLE_CODEC_SURROGATE_PAIRS_HPP

#include <string_view>

namespace egretspindle
{

/// Returns whether JSON text has no escaped half of a surrogate pair.
///
/// RapidJSON decodes a lone second half to bytes that are not UTF-8.
[[nodiscard]] bool has_valid_surrogate_pairs(std::string_view text) noexcept;

} // namespace egretspindle

#endif
