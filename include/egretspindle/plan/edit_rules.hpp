/// \file
/// Rules for changes of the plan.

#ifndef EGRETSPINDLE_PLAN_EDIT_RULES_HPP
#define EGRETSPINDLE_PLAN_EDIT_RULES_HPP

#include "egretspindle/plan/plan_actor.hpp"
#include "egretspindle/plan/plan_document.hpp"
#include "egretspindle/plan/plan_section.hpp"
#include "egretspindle/plan/section_edit.hpp"

#include <absl/status/status.h>

#include <cstdint>

namespace egretspindle
{

/// Returns an error when the plan may not be changed at this time.
///
/// \param in_force  plan in force, or null when none was ever accepted;
///                  changes are then always possible
/// \param unix_ms   present time
[[nodiscard]] absl::Status check_break(const plan_document* in_force,
                                       std::int64_t unix_ms);

/// Returns an error when the actor may not make this edit.
///
/// \param current  section as it is; version 0 when there is none
[[nodiscard]] absl::Status check_edit(const plan_actor& actor,
                                      const section_edit& edit,
                                      const plan_section& current);

} // namespace egretspindle

#endif
