/// \file
/// Conversion of cxxtools serialization trees to values, with type checks.

#ifndef EGRETSPINDLE_CODEC_FIELD_READER_HPP
#define EGRETSPINDLE_CODEC_FIELD_READER_HPP

#include "egretspindle/core/outcome.hpp"

#include <absl/status/status.h>
#include <cxxtools/serializationinfo.h>
#include <fmt/format.h>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

namespace egretspindle::codec
{

/// What to do with members that the struct does not have.
enum class unknown_fields
{
    ignore,
    reject,
};

template <typename T>
absl::Status read(const cxxtools::SerializationInfo& tree, T& value,
                  unknown_fields unknown, std::string_view path);

absl::Status read(const cxxtools::SerializationInfo& tree, std::string& value,
                  unknown_fields unknown, std::string_view path);
absl::Status read(const cxxtools::SerializationInfo& tree, bool& value,
                  unknown_fields unknown, std::string_view path);
absl::Status read(const cxxtools::SerializationInfo& tree, double& value,
                  unknown_fields unknown, std::string_view path);
absl::Status read(const cxxtools::SerializationInfo& tree, std::int64_t& value,
                  unknown_fields unknown, std::string_view path);
absl::Status read(const cxxtools::SerializationInfo& tree, outcome& value,
                  unknown_fields unknown, std::string_view path);

/// Returns an error that names the field and what it should hold.
[[nodiscard]] absl::Status wrong_type(std::string_view path,
                                      std::string_view expected);

/// Returns an error when the tree has members that are not in `known`.
[[nodiscard]] absl::Status
check_known_members(const cxxtools::SerializationInfo& tree,
                    const std::set<std::string>& known, std::string_view path);

template <typename T>
absl::Status read(const cxxtools::SerializationInfo& tree,
                  std::vector<T>& values, unknown_fields unknown,
                  std::string_view path)
{
    if (tree.category() != cxxtools::SerializationInfo::Array)
    {
        return wrong_type(path, "an array");
    }
    values.clear();
    for (const cxxtools::SerializationInfo& member : tree)
    {
        T value{};
        const absl::Status status = read(
            member, value, unknown, fmt::format("{}[{}]", path, values.size()));
        if (!status.ok())
        {
            return status;
        }
        values.push_back(std::move(value));
    }
    return absl::OkStatus();
}

template <typename T>
absl::Status read(const cxxtools::SerializationInfo& tree,
                  std::map<std::string, T>& values, unknown_fields unknown,
                  std::string_view path)
{
    if (tree.category() != cxxtools::SerializationInfo::Object)
    {
        return wrong_type(path, "an object");
    }
    values.clear();
    for (const cxxtools::SerializationInfo& member : tree)
    {
        T value{};
        const absl::Status status = read(
            member, value, unknown, fmt::format("{}.{}", path, member.name()));
        if (!status.ok())
        {
            return status;
        }
        values.emplace(member.name(), std::move(value));
    }
    return absl::OkStatus();
}

/// Reads each visited field from the member of the same name.
class field_reader
{
public:
    field_reader(const cxxtools::SerializationInfo& tree,
                 unknown_fields unknown, std::string_view path)
        : tree_(tree), unknown_(unknown), path_(path)
    {
    }

    template <typename T>
    void operator()(const char* name, T& value)
    {
        known_.insert(name);
        const cxxtools::SerializationInfo* member = tree_.findMember(name);
        if (member != nullptr && status_.ok())
        {
            status_ = read(*member, value, unknown_,
                           path_.empty() ? std::string(name)
                                         : fmt::format("{}.{}", path_, name));
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
    const cxxtools::SerializationInfo& tree_;
    unknown_fields unknown_;
    std::string path_;
    std::set<std::string> known_;
    absl::Status status_;
};

template <typename T>
absl::Status read(const cxxtools::SerializationInfo& tree, T& value,
                  unknown_fields unknown, std::string_view path)
{
    if constexpr (std::is_integral_v<T>)
    {
        std::int64_t wide = 0;
        const absl::Status status = read(tree, wide, unknown, path);
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
        if (tree.category() != cxxtools::SerializationInfo::Object)
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
