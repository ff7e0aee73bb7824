/// \file
/// Construction and inspection of typed errors.

#ifndef EGRETSPINDLE_CORE_ERROR_HPP
#define EGRETSPINDLE_CORE_ERROR_HPP

#include "egretspindle/core/error_kind.hpp"

#include <absl/status/status.h>

#include <string_view>

namespace egretspindle
{

/// Creates a status of the given kind.
///
/// \param kind     kind of the error
/// \param message  description that says what to do about the error
[[nodiscard]] absl::Status make_error(error_kind kind,
                                      std::string_view message);

/// Returns the kind of a failed status; `internal` when it carries none.
[[nodiscard]] error_kind kind_of(const absl::Status& status);

} // namespace egretspindle

#endif
