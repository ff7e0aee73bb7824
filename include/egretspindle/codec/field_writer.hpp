/// \file
/// Conversion of values to cxxtools serialization trees.

#ifndef EGRETSPINDLE_CODEC_FIELD_WRITER_HPP
#define EGRETSPINDLE_CODEC_FIELD_WRITER_HPP

#include "egretspindle/core/outcome.hpp"

#include <cxxtools/serializationinfo.h>

#include <map>
#include <string>
#include <type_traits>
#include <vector>

namespace egretspindle::codec
{

template <typename T>
void write(cxxtools::SerializationInfo& tree, const T& value);

/// Writes UTF-8 text.
void write(cxxtools::SerializationInfo& tree, const std::string& value);

inline void write(cxxtools::SerializationInfo& tree, outcome value)
{
    write(tree, std::string(to_string(value)));
}

template <typename T>
void write(cxxtools::SerializationInfo& tree, const std::vector<T>& values)
{
    tree.setCategory(cxxtools::SerializationInfo::Array);
    for (const T& value : values)
    {
        write(tree.addMember(), value);
    }
}

template <typename T>
void write(cxxtools::SerializationInfo& tree,
           const std::map<std::string, T>& values)
{
    tree.setCategory(cxxtools::SerializationInfo::Object);
    for (const auto& [key, value] : values)
    {
        write(tree.addMember(key), value);
    }
}

/// Writes each visited field as a member of an object.
class field_writer
{
public:
    explicit field_writer(cxxtools::SerializationInfo& tree) : tree_(tree)
    {
        tree_.setCategory(cxxtools::SerializationInfo::Object);
    }

    template <typename T>
    void operator()(const char* name, const T& value)
    {
        write(tree_.addMember(name), value);
    }

private:
    cxxtools::SerializationInfo& tree_;
};

template <typename T>
void write(cxxtools::SerializationInfo& tree, const T& value)
{
    if constexpr (std::is_arithmetic_v<T>)
    {
        tree <<= value;
    }
    else
    {
        visit_fields(field_writer(tree), value, &value);
    }
}

} // namespace egretspindle::codec

#endif
