#include "egretspindle/codec/field_reader.hpp"

#include "egretspindle/core/error.hpp"

#include <cxxtools/utf8codec.h>

#include <cmath>
#include <exception>

namespace egretspindle::codec
{

namespace
{

bool is_text(const cxxtools::SerializationInfo& tree)
{
    return tree.category() == cxxtools::SerializationInfo::Value &&
           (tree.isString() || tree.isString8()) &&
           (tree.typeName().empty() || tree.typeName() == "string");
}

// The parser keeps numbers as text and marks them by type name.
bool is_number(const cxxtools::SerializationInfo& tree)
{
    if (tree.category() != cxxtools::SerializationInfo::Value)
    {
        return false;
    }
    return tree.isInt() || tree.isUInt() || tree.isDouble() || tree.isFloat() ||
           tree.isLongDouble() || tree.typeName() == "int" ||
           tree.typeName() == "double";
}

} // namespace

absl::Status wrong_type(std::string_view path, std::string_view expected)
{
    return make_error(error_kind::invalid_argument,
                      fmt::format("field '{}' must be {}",
                                  path.empty() ? "(document)" : path,
                                  expected));
}

absl::Status check_known_members(const cxxtools::SerializationInfo& tree,
                                 const std::set<std::string>& known,
                                 std::string_view path)
{
    for (const cxxtools::SerializationInfo& member : tree)
    {
        if (known.count(member.name()) == 0)
        {
            std::string text;
            for (const std::string& name : known)
            {
                text += text.empty() ? name : ", " + name;
            }
            return make_error(
                error_kind::invalid_argument,
                fmt::format("unknown field '{}{}{}'; remove it or use one "
                            "of: {}",
                            path, path.empty() ? "" : ".", member.name(),
                            text));
        }
    }
    return absl::OkStatus();
}

absl::Status read(const cxxtools::SerializationInfo& tree, std::string& value,
                  unknown_fields /*unknown*/, std::string_view path)
{
    if (!is_text(tree))
    {
        return wrong_type(path, "a string");
    }
    if (tree.isString8())
    {
        tree.getValue(value);
        return absl::OkStatus();
    }
    cxxtools::String text;
    tree.getValue(text);
    value = cxxtools::Utf8Codec::encode(text);
    return absl::OkStatus();
}

absl::Status read(const cxxtools::SerializationInfo& tree, bool& value,
                  unknown_fields /*unknown*/, std::string_view path)
{
    if (!tree.isBool() && tree.typeName() != "bool")
    {
        return wrong_type(path, "true or false");
    }
    tree.getValue(value);
    return absl::OkStatus();
}

absl::Status read(const cxxtools::SerializationInfo& tree, double& value,
                  unknown_fields /*unknown*/, std::string_view path)
{
    try
    {
        if (is_number(tree))
        {
            tree.getValue(value);
            if (std::isfinite(value))
            {
                return absl::OkStatus();
            }
        }
    }
    catch (const std::exception&)
    {
        return wrong_type(path, "a number");
    }
    return wrong_type(path, "a number");
}

absl::Status read(const cxxtools::SerializationInfo& tree, std::int64_t& value,
                  unknown_fields /*unknown*/, std::string_view path)
{
    try
    {
        if (is_number(tree) && tree.typeName() != "double" && !tree.isDouble())
        {
            long long wide = 0;
            tree.getValue(wide);
            value = wide;
            return absl::OkStatus();
        }
    }
    catch (const std::exception&)
    {
        return wrong_type(path, "an integer of at most 64 bits");
    }
    return wrong_type(path, "an integer");
}

absl::Status read(const cxxtools::SerializationInfo& tree, outcome& value,
                  unknown_fields unknown, std::string_view path)
{
    std::string text;
    const absl::Status status = read(tree, text, unknown, path);
    if (status.ok())
    {
        value = outcome_from(text);
    }
    return status;
}

} // namespace egretspindle::codec
