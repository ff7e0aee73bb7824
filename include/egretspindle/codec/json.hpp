/// \file
/// JSON encoding of plain structs through RapidJSON.
///
/// A struct can be encoded and decoded if there is a free function
/// `visit_fields(visitor, value, const T*)` that calls the visitor with the
/// name and value of each field.

#ifndef EGRETSPINDLE_CODEC_JSON_HPP
#define EGRETSPINDLE_CODEC_JSON_HPP

#include "egretspindle/codec/field_reader.hpp"
#include "egretspindle/codec/field_writer.hpp"
#include "egretspindle/codec/json_document.hpp"

#include <absl/status/statusor.h>

#include <string>
#include <string_view>

namespace egretspindle
{

/// Encodes a struct, vector or scalar.
///
/// \code
/// std::string text = to_json(resources{4, 8192, 0});
/// \endcode
template <typename T>
[[nodiscard]] std::string to_json(const T& value)
{
    std::string text;
    codec::json_writer out(text);
    codec::write(out, value);
    return text;
}

/// Decodes a struct, vector or scalar.
///
/// Absent fields keep their default values, so that hosts of different versions
/// can exchange messages.
///
/// \param text       JSON text
/// \param unknown    treatment of fields that the struct does not have
/// \returns `invalid_argument` that names the field and the expected type
template <typename T>
[[nodiscard]] absl::StatusOr<T>
from_json(std::string_view text,
          codec::unknown_fields unknown = codec::unknown_fields::ignore)
{
    const absl::StatusOr<json_document> document = parse_json(text);
    if (!document.ok())
    {
        return document.status();
    }
    T value{};
    absl::Status status =
        codec::read(document->root(), value, unknown, codec::field_path{});
    if (!status.ok())
    {
        return status;
    }
    return value;
}

} // namespace egretspindle

#endif
