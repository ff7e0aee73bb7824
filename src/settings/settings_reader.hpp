/// \file
/// Reader of a TOML table that collects every error.

#ifndef EGRETSPINDLE_SRC_SETTINGS_SETTINGS_READER_HPP
#define EGRETSPINDLE_SRC_SETTINGS_SETTINGS_READER_HPP

#include "egretspindle/core/toml.hpp"

#include <fmt/format.h>

#include <cstdint>
#include <set>
#include <sstream>
#include <string>
#include <string_view>
#include <vector>

namespace egretspindle
{

/// Errors by key, found value and expected value.
struct settings_errors
{
    std::vector<std::string> lines;

    void add(std::string_view key, std::string_view found,
             std::string_view expected)
    {
        lines.push_back(
            fmt::format("{}: found {}, expected {}", key, found, expected));
    }
};

/// Returns a value as TOML text, shortened.
[[nodiscard]] std::string describe(const toml::node* node);

/// Reads the members of one table and reports the ones nobody asked for.
class table_reader
{
public:
    /// \param table  may be null for an absent table
    /// \param path   of the table, empty for the document
    table_reader(const toml::table* table, std::string path,
                 settings_errors& errors)
        : table_(table), path_(std::move(path)), errors_(errors)
    {
    }

    [[nodiscard]] const toml::node* find(const char* name);
    [[nodiscard]] table_reader table(const char* name);
    [[nodiscard]] const toml::array* array(const char* name,
                                           std::string_view expected);

    /// Reads a text that is required unless `is_optional`.
    std::string text(const char* name, std::string_view expected,
                     bool is_optional = false);
    void number(const char* name, std::int64_t& value, std::int64_t lowest,
                std::int64_t highest);

    /// Reads a number that may have a fraction.
    void real(const char* name, double& value, double lowest, double highest);

    /// Records an error for a member of this table.
    void fail(std::string_view name, std::string_view found,
              std::string_view expected);
    void check_unknown();

    [[nodiscard]] std::string path_of(std::string_view name) const;
    [[nodiscard]] const toml::table* get() const noexcept
    {
        return table_;
    }

private:
    const toml::table* table_;
    std::string path_;
    settings_errors& errors_;
    std::set<std::string, std::less<>> known_;
};

} // namespace egretspindle

#endif
