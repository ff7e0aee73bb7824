/// \file
/// UTF-8 validation.

#ifndef EGRETSPINDLE_CORE_UTF8_HPP
#define EGRETSPINDLE_CORE_UTF8_HPP

#include <string>
#include <string_view>

namespace egretspindle
{

/// Returns the length in bytes of the valid UTF-8 sequence at the start of
/// `text`, or 0 when there is none.
///
/// Overlong forms, surrogates and values above U+10FFFF are not valid.
[[nodiscard]] std::size_t utf8_sequence_length(std::string_view text) noexcept;

/// Returns whether the whole text is valid UTF-8.
[[nodiscard]] bool is_valid_utf8(std::string_view text) noexcept;

/// Returns the text with each invalid byte replaced by `?`.
[[nodiscard]] std::string replace_invalid_utf8(std::string_view text);

} // namespace egretspindle

#endif
