/// \file
/// JSON encoding of plain structs through cxxtools.
///
/// A struct is made encodable by a free function
/// `visit_fields(visitor, value, const T*)` that names each field once.

#ifndef EGRETSPINDLE_CODEC_JSON_HPP
#define EGRETSPINDLE_CODEC_JSON_HPP

#include "egretspindle/codec/field_reader.hpp"
#include "egretspindle/codec/field_writer.hpp"

#include <absl/status/statusor.h>
#include <cxxtools/serializationinfo.h>

#include <string>
#include <string_view>

namespace egretspindle
{

/// Parses JSON text into a generic tree.
///
/// \returns `invalid_argument` for malformed, trailing or too deeply nested
///          text
[[nodiscard]] absl::StatusOr<cxxtools::SerializationInfo>
parse_json(std::string_view text);

/// Formats a generic tree as JSON without white space.
[[nodiscard]] std::string format_json(const cxxtools::SerializationInfo& tree);

/// Encodes a struct, vector or scalar.
///
/// \code
/// std::string text = to_json(resources{4, 8192, 0});
/// \endcode
template <typename T>
[[nodiscard]] std::string to_json(const T& value)
{
    cxxtools::SerializationInfo tree;
    codec::write(tree, value);
    return format_json(tree);
}

/// Decodes a struct, vector or scalar.
///
/// Absent fields keep their default values, so that hosts of two versions
/// understand each other.
///
/// \param text       JSON text
/// \param unknown    what to do with fields that the struct does not have
/// \returns `invalid_argument` that names the field and the expected type
template <typename T>
[[nodiscard]] absl::StatusOr<T>
from_json(std::string_view text,
          codec::unknown_fields unknown = codec::unknown_fields::ignore)
{
    absl::StatusOr<cxxtools::SerializationInfo> tree = parse_json(text);
    if (!tree.ok())
    {
        return tree.status();
    }
    T value{};
    const absl::Status status = codec::read(*tree, value, unknown, "");
    if (!status.ok())
    {
        return status;
    }
    return value;
}

} // namespace egretspindle

#endif
