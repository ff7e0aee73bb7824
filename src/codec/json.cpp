#include "egretspindle/codec/json.hpp"

#include "egretspindle/core/error.hpp"

#include <cxxtools/jsondeserializer.h>
#include <cxxtools/jsonserializer.h>
#include <cxxtools/utf8codec.h>

#include <exception>
#include <sstream>

namespace egretspindle
{

namespace
{

// The parser recurses once per level; deeper text could exhaust the stack.
constexpr int max_nesting_depth = 64;

bool is_nesting_bounded(std::string_view text)
{
    int depth = 0;
    bool in_string = false;
    for (std::size_t n = 0; n < text.size(); ++n)
    {
        const char c = text[n];
        if (in_string)
        {
            if (c == '\\')
            {
                ++n;
            }
            else if (c == '"')
            {
                in_string = false;
            }
        }
        else if (c == '"')
        {
            in_string = true;
        }
        else if (c == '{' || c == '[')
        {
            if (++depth > max_nesting_depth)
            {
                return false;
            }
        }
        else if (c == '}' || c == ']')
        {
            --depth;
        }
    }
    return true;
}

bool has_only_white_space(std::istream& in)
{
    char c = 0;
    while (in.get(c))
    {
        if (c != ' ' && c != '\t' && c != '\r' && c != '\n')
        {
            return false;
        }
    }
    return true;
}

} // namespace

absl::StatusOr<cxxtools::SerializationInfo> parse_json(std::string_view text)
{
    if (!is_nesting_bounded(text))
    {
        return make_error(
            error_kind::invalid_argument,
            fmt::format("JSON is nested more than {} levels deep; flatten it",
                        max_nesting_depth));
    }
    try
    {
        std::istringstream in{std::string(text)};
        cxxtools::JsonDeserializer deserializer(in);
        cxxtools::SerializationInfo tree;
        deserializer.deserialize(tree);
        if (!has_only_white_space(in))
        {
            return make_error(error_kind::invalid_argument,
                              "text follows the JSON document; send one "
                              "document");
        }
        return tree;
    }
    catch (const std::exception& ex)
    {
        return make_error(
            error_kind::invalid_argument,
            fmt::format("malformed JSON, correct it: {}", ex.what()));
    }
}

std::string format_json(const cxxtools::SerializationInfo& tree)
{
    std::ostringstream out;
    cxxtools::JsonSerializer serializer(out);
    serializer.serialize(tree).finish();
    return out.str();
}

} // namespace egretspindle

namespace egretspindle::codec
{

void write(cxxtools::SerializationInfo& tree, const std::string& value)
{
    tree.setValue(cxxtools::Utf8Codec::decode(value));
}

} // namespace egretspindle::codec
