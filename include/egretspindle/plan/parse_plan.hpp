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

/// Largest document. Rows of the store hold at most 64 KiB.
inline constexpr std::size_t max_plan_bytes = 64 * 1024;

/// Parses a document and checks all that needs no context.
///
/// \param text  TOML
/// \returns `invalid_argument` that lists every error with its remedy
[[nodiscard]] absl::StatusOr<plan_document> parse_plan(std::string_view text);

/// Returns every error of a document; none when it can be accepted.
///
/// \param text     TOML
/// \param context  facts that the document refers to
[[nodiscard]] std::vector<plan_problem>
validate_plan(std::string_view text, const plan_context& context);

} // namespace egretspindle

#endif
