/// \file
/// Formatting of tables for the terminal.

#ifndef EGRETSPINDLE_APPS_EGRETCTL_TABLE_HPP
#define EGRETSPINDLE_APPS_EGRETCTL_TABLE_HPP

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace egretspindle::ctl
{

/// Rows of cells; the first row is the header.
using table_rows = std::vector<std::vector<std::string>>;

/// Formats rows with aligned columns.
[[nodiscard]] std::string format_table(const table_rows& rows);

/// Formats a time as `YYYY-MM-DD HH:MM:SS` in UTC; `-` for 0.
[[nodiscard]] std::string format_time(std::int64_t unix_ms);

/// Replaces control characters other than line feeds and tabs, so that text
/// written by others cannot send escape sequences to the terminal.
[[nodiscard]] std::string printable(std::string_view text);

} // namespace egretspindle::ctl

#endif
