/// \file
/// Path of a value in a JSON document, for error messages.

#ifndef EGRETSPINDLE_CODEC_FIELD_PATH_HPP
#define EGRETSPINDLE_CODEC_FIELD_PATH_HPP

#include <cstddef>
#include <string>
#include <string_view>

namespace egretspindle::codec
{

/// Member of an object or element of an array, linked to its container.
///
/// The links are on the stack of the reader, and the text is only built for an
/// error.
struct field_path
{
    const field_path* parent = nullptr; ///< null for the document root
    std::string_view name;              ///< of a member; null for an element
    std::size_t index = 0;              ///< of an element
};

/// Returns the path as text, such as `racks[2].rack`; empty for the document.
[[nodiscard]] std::string to_text(const field_path& path);

} // namespace egretspindle::codec

#endif
