/// \file
/// Validation of escaped UTF-16 surrogates in JSON text.

#ifndef EGRETSPINDLE_CODEC_SURROGATE_PAIRS_HPP
#define EGRETSPINDLE_CODEC_SURROGATE_PAIRS_HPP

#include <string_view>

namespace egretspindle
{

/// Returns whether all escaped surrogates in JSON text form pairs.
///
/// RapidJSON decodes an unpaired low surrogate to bytes that are not UTF-8.
[[nodiscard]] bool has_valid_surrogate_pairs(std::string_view text) noexcept;

} // namespace egretspindle

#endif
