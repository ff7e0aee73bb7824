#include "egretspindle/codec/field_reader.hpp"

#include "egretspindle/core/error.hpp"

#include <cmath>

namespace egretspindle::codec
{

namespace
{

// The parser stores integers that do not fit into 64 bits as floating point.
bool is_large_integer(const json_value& tree)
{
    constexpr double limit = 9223372036854775808.0; // 2^63
    return tree.IsUint64() ||
           (tree.IsDouble() && std::isfinite(tree.GetDouble()) &&
            std::fabs(tree.GetDouble()) >= limit);
}

} // namespace

absl::Status wrong_type(const field_path& path, std::string_view expected)
{
    const std::string text = to_text(path);
    return make_error(error_kind::invalid_argument,
                      fmt::format("field '{}' must be {}",
                                  path.parent == nullptr ? "(document)" : text,
                                  expected));
}

absl::Status check_known_members(const json_value& tree,
                                 const std::set<std::string_view>& known,
                                 const field_path& path)
{
    for (const auto& [name, value] : tree.GetObject())
    {
        if (known.count(text_of(name)) == 0)
        {
            return make_error(
                error_kind::invalid_argument,
                fmt::format("unknown field '{}'; remove it or use one of: {}",
                            to_text(field_path{&path, text_of(name)}),
                            fmt::join(known, ", ")));
        }
    }
    return absl::OkStatus();
}

absl::Status read(const json_value& tree, std::string& value,
                  unknown_fields /*unknown*/, const field_path& path)
{
    if (!tree.IsString())
    {
        return wrong_type(path, "a string");
    }
    value = text_of(tree);
    return absl::OkStatus();
}

absl::Status read(const json_value& tree, bool& value,
                  unknown_fields /*unknown*/, const field_path& path)
{
    if (!tree.IsBool())
    {
        return wrong_type(path, "true or false");
    }
    value = tree.GetBool();
    return absl::OkStatus();
}

absl::Status read(const json_value& tree, double& value,
                  unknown_fields /*unknown*/, const field_path& path)
{
    if (!tree.IsNumber() || !std::isfinite(tree.GetDouble()))
    {
        return wrong_type(path, "a number");
    }
    value = tree.GetDouble();
    return absl::OkStatus();
}

absl::Status read(const json_value& tree, std::int64_t& value,
                  unknown_fields /*unknown*/, const field_path& path)
{
    if (!tree.IsInt64())
    {
        return wrong_type(path, is_large_integer(tree)
                                    ? "an integer of at most 64 bits"
                                    : "an integer");
    }
    value = tree.GetInt64();
    return absl::OkStatus();
}

absl::Status read(const json_value& tree, outcome& value,
                  unknown_fields /*unknown*/, const field_path& path)
{
    if (!tree.IsString())
    {
        return wrong_type(path, "a string");
    }
    value = outcome_from(text_of(tree));
    return absl::OkStatus();
}

} // namespace egretspindle::codec
