/// \file
/// Field checks shared by submissions and queries.

#ifndef EGRETSPINDLE_SRC_ADAPTERS_CALLER_FIELDS_HPP
#define EGRETSPINDLE_SRC_ADAPTERS_CALLER_FIELDS_HPP

#include <absl/status/status.h>

#include <string_view>

namespace egretspindle
{

/// Checks that a name has 1 to 128 characters of `[A-Za-z0-9._-]` and is
/// neither `.` nor `..`.
[[nodiscard]] absl::Status check_caller_name(std::string_view field,
                                             std::string_view value);

/// Checks a number against inclusive bounds.
[[nodiscard]] absl::Status check_caller_range(std::string_view field,
                                              double value, double lowest,
                                              double highest);

} // namespace egretspindle

#endif
