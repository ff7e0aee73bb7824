/// \file
/// Encoding of C++ values as JSON text.

#ifndef EGRETSPINDLE_CODEC_FIELD_WRITER_HPP
#define EGRETSPINDLE_CODEC_FIELD_WRITER_HPP

#include "egretspindle/codec/json_writer.hpp"
#include "egretspindle/core/outcome.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

namespace egretspindle::codec
{

template <typename T>
void write(json_writer& out, const T& value);

/// Writes UTF-8 text.
inline void write(json_writer& out, const std::string& value)
{
    out.text(value);
}

inline void write(json_writer& out, std::string_view value)
{
    out.text(value);
}

inline void write(json_writer& out, outcome value)
{
    out.text(to_string(value));
}

template <typename T>
void write(json_writer& out, const std::vector<T>& values)
{
    out.StartArray();
    for (const T& value : values)
    {
        write(out, value);
    }
    out.EndArray();
}

template <typename T>
void write(json_writer& out, const std::map<std::string, T>& values)
{
    out.StartObject();
    for (const auto& [key, value] : values)
    {
        out.text(key);
        write(out, value);
    }
    out.EndObject();
}

/// Writes each visited field as a member of an object.
class field_writer
{
public:
    explicit field_writer(json_writer& out) : out_(out) {}

    template <typename T>
    void operator()(const char* name, const T& value)
    {
        out_.text(name);
        write(out_, value);
    }

private:
    json_writer& out_;
};

template <typename T>
void write(json_writer& out, const T& value)
{
    if constexpr (std::is_same_v<T, bool>)
    {
        out.Bool(value);
    }
    else if constexpr (std::is_floating_point_v<T>)
    {
        out.number(value);
    }
    else if constexpr (std::is_unsigned_v<T>)
    {
        out.Uint64(value);
    }
    else if constexpr (std::is_integral_v<T>)
    {
        out.Int64(value);
    }
    else
    {
        out.StartObject();
        visit_fields(field_writer(out), value, &value);
        out.EndObject();
    }
}

} // namespace egretspindle::codec

#endif
