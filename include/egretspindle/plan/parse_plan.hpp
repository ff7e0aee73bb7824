/// \file
/// Parsing and validation of plan documents.

#ifndef EGRETSPINDLE_PLAN_PARSE_PLAN_HPP
#define EGRETSPINDLE_PLAN_PARSE_PLAN_HPP

#include "egretspindle/plan/plan_context.hpp"
#include "egretspindle/plan/plan_document.hpp"
#include "egretspindle/plan/plan_problem.hpp"

#include <absl/status/statusor.h>

#include <cstddef>
#include <string_view>
#include <vector>

namespace egretspindle
{

/// Limit for the document, since rows of the store hold at most 64 KiB.
inline constexpr std::size_t max_plan_bytes = 64 * 1024;

/// Parses a document and makes all checks that need no context.
///
/// \param text  TOML
/// \returns `invalid_argument` with a list of all errors and their remedies
[[nodiscard]] absl::StatusOr<plan_document> parse_plan(std::string_view text);

/// Returns all errors of a document; none if it can be accepted.
///
/// \param text     TOML
/// \param context  data from outside the document that it refers to
[[nodiscard]] std::vector<plan_problem>
validate_plan(std::string_view text, const plan_context& context);

} // namespace egretspindle

#endif
