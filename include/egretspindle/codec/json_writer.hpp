/// \file
/// Writer of JSON text without white space.

#ifndef EGRETSPINDLE_CODEC_JSON_WRITER_HPP
#define EGRETSPINDLE_CODEC_JSON_WRITER_HPP

#include "egretspindle/codec/string_stream.hpp"

#include <rapidjson/writer.h>

#include <string>
#include <string_view>

namespace egretspindle::codec
{

/// Appends JSON values to a string. Non-ASCII characters are escaped.
class json_writer : private rapidjson::Writer<string_stream, rapidjson::UTF8<>,
                                              rapidjson::ASCII<>>
{
public:
    explicit json_writer(std::string& out);

    using Writer::Bool;
    using Writer::EndArray;
    using Writer::EndObject;
    using Writer::Int64;
    using Writer::StartArray;
    using Writer::StartObject;
    using Writer::Uint64;

    /// Writes a string or the name of a member. Bytes that are not valid UTF-8
    /// are replaced by `?`.
    void text(std::string_view value);

    /// Writes a number, or null if it is not finite.
    void number(double value);

private:
    string_stream stream_;
};

} // namespace egretspindle::codec

#endif
