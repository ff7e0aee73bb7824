/// \file
/// JSON encoding of image names as strings.

#ifndef EGRETSPINDLE_RACK_IMAGE_NAME_CODEC_HPP
#define EGRETSPINDLE_RACK_IMAGE_NAME_CODEC_HPP

#include "egretspindle/codec/field_reader.hpp"
#include "egretspindle/codec/field_writer.hpp"
#include "egretspindle/rack/image_name.hpp"

namespace egretspindle
{

/// Decodes a name. The codec finds this function by argument-dependent lookup.
absl::Status read(const json_value& tree, image_name& value,
                  codec::unknown_fields unknown, const codec::field_path& path);

/// Encodes a name.
void write(codec::json_writer& out, const image_name& value);

} // namespace egretspindle

#endif
