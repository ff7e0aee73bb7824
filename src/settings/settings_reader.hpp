/// \file
/// Reader of TOML tables that collects all errors.

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

/// Error messages with key, found value and expected value.
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

/// Returns a value as TOML text, truncated if it is long; `nothing` for null.
[[nodiscard]] std::string describe(const toml::node* node);

/// Reads the values of one table and reports unknown keys.
class table_reader
{
public:
    /// \param table  null if the table is absent
    /// \param path   path of the table, empty for the document
    /// \param errors  receives the errors; must outlive the reader
    table_reader(const toml::table* table, std::string path,
                 settings_errors& errors)
        : table_(table), path_(std::move(path)), errors_(errors)
    {
    }

    /// Returns the value of a key, which becomes a known key; null if absent.
    [[nodiscard]] const toml::node* find(const char* name);

    /// Returns a reader of a nested table, also if it is absent.
    [[nodiscard]] table_reader table(const char* name);

    /// Returns an array; null if it is absent or of another type.
    [[nodiscard]] const toml::array* array(const char* name,
                                           std::string_view expected);

    /// Reads a string, which is required unless `is_optional`.
    std::string text(const char* name, std::string_view expected,
                     bool is_optional = false);

    /// Reads an optional integer; keeps `value` if the key is absent.
    void number(const char* name, std::int64_t& value, std::int64_t lowest,
                std::int64_t highest);

    /// Reads an optional floating-point number; keeps `value` if it is absent.
    void floating_point(const char* name, double& value, double lowest,
                        double highest);

    /// Adds an error for a key of this table.
    void add_error(std::string_view name, std::string_view found,
                   std::string_view expected);

    /// Adds an error for every key of the table that was not read.
    void report_unknown_keys();

    /// Returns the path of a key, as in error messages.
    [[nodiscard]] std::string path_of(std::string_view name) const;

    /// Returns the table; null if it is absent.
    [[nodiscard]] const toml::table* get() const noexcept
    {
        return table_;
    }

private:
    const toml::table* table_;
    std::string path_;
    settings_errors& errors_;
    std::set<std::string, std::less<>> known_keys_;
};

} // namespace egretspindle

#endif
