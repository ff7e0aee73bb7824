/// \file
/// Decoding of JSON values into C++ values, with type checks.

#ifndef EGRETSPINDLE_CODEC_FIELD_READER_HPP
#define EGRETSPINDLE_CODEC_FIELD_READER_HPP

#include "egretspindle/codec/field_path.hpp"
#include "egretspindle/codec/json_document.hpp"
#include "egretspindle/core/outcome.hpp"

#include <absl/status/status.h>
#include <fmt/format.h>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <vector>

namespace egretspindle::codec
{

/// Treatment of members that the struct does not have.
enum class unknown_fields
{
    ignore,
    reject,
};

template <typename T>
absl::Status read(const json_value& tree, T& value, unknown_fields unknown,
                  const field_path& path);

absl::Status read(const json_value& tree, std::string& value,
                  unknown_fields unknown, const field_path& path);
absl::Status read(const json_value& tree, bool& value, unknown_fields unknown,
                  const field_path& path);
absl::Status read(const json_value& tree, double& value, unknown_fields unknown,
                  const field_path& path);
absl::Status read(const json_value& tree, std::int64_t& value,
                  unknown_fields unknown, const field_path& path);
absl::Status read(const json_value& tree, outcome& value,
                  unknown_fields unknown, const field_path& path);

/// Returns an error that names the field and the expected type.
[[nodiscard]] absl::Status wrong_type(const field_path& path,
                                      std::string_view expected);

/// Returns an error when the tree has members that are not in `known`.
[[nodiscard]] absl::Status
check_known_members(const json_value& tree,
                    const std::set<std::string_view>& known,
                    const field_path& path);

template <typename T>
absl::Status read(const json_value& tree, std::vector<T>& values,
                  unknown_fields unknown, const field_path& path)
{
    if (!tree.IsArray())
    {
        return wrong_type(path, "an array");
    }
    values.clear();
    values.reserve(tree.Size());
    for (const json_value& member : tree.GetArray())
    {
        T value{};
        absl::Status status =
            read(member, value, unknown, field_path{&path, {}, values.size()});
        if (!status.ok())
        {
            return status;
        }
        values.push_back(std::move(value));
    }
    return absl::OkStatus();
}

template <typename T>
absl::Status read(const json_value& tree, std::map<std::string, T>& values,
                  unknown_fields unknown, const field_path& path)
{
    if (!tree.IsObject())
    {
        return wrong_type(path, "an object");
    }
    values.clear();
    for (const auto& [key, member] : tree.GetObject())
    {
        T value{};
        absl::Status status =
            read(member, value, unknown, field_path{&path, text_of(key)});
        if (!status.ok())
        {
            return status;
        }
        values.emplace(text_of(key), std::move(value));
    }
    return absl::OkStatus();
}

/// Reads each visited field from the member of the same name.
class field_reader
{
public:
    /// \param tree  an object
    field_reader(const json_value& tree, unknown_fields unknown,
                 const field_path& path)
        : tree_(tree), unknown_(unknown), path_(path), next_(tree.MemberBegin())
    {
    }

    template <typename T>
    void operator()(const char* name, T& value)
    {
        if (unknown_ == unknown_fields::reject)
        {
            known_.insert(name);
        }
        if (!status_.ok())
        {
            return;
        }
        const json_value* member = find(name);
        if (member != nullptr)
        {
            status_ = read(*member, value, unknown_, field_path{&path_, name});
        }
    }

    /// Returns the first error, after checking for unknown members.
    [[nodiscard]] absl::Status finish() const
    {
        if (status_.ok() && unknown_ == unknown_fields::reject)
        {
            return check_known_members(tree_, known_, path_);
        }
        return status_;
    }

private:
    // Messages usually contain the fields in the order in which they are
    // visited. As long as they do, `next_` is the member to find, and the
    // search is a single comparison.
    [[nodiscard]] const json_value* find(std::string_view name)
    {
        if (next_ != tree_.MemberEnd() && text_of(next_->name) == name)
        {
            return &(next_++)->value;
        }
        return find_member(tree_, name);
    }

    const json_value& tree_;
    unknown_fields unknown_;
    const field_path& path_;
    json_value::ConstMemberIterator next_;
    std::set<std::string_view> known_;
    absl::Status status_;
};

template <typename T>
absl::Status read(const json_value& tree, T& value, unknown_fields unknown,
                  const field_path& path)
{
    if constexpr (std::is_integral_v<T>)
    {
        std::int64_t wide = 0;
        absl::Status status = read(tree, wide, unknown, path);
        if (!status.ok())
        {
            return status;
        }
        value = static_cast<T>(wide);
        if (static_cast<std::int64_t>(value) != wide ||
            (std::is_unsigned_v<T> && wide < 0))
        {
            return wrong_type(path, "an integer in range");
        }
        return absl::OkStatus();
    }
    else
    {
        if (!tree.IsObject())
        {
            return wrong_type(path, "an object");
        }
        field_reader reader(tree, unknown, path);
        const T* tag = nullptr;
        visit_fields(reader, value, tag);
        return reader.finish();
    }
}

} // namespace egretspindle::codec

#endif
