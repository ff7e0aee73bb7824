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

/// Checks that the time lies in one of the break windows.
///
/// \param in_force  plan in force, or null if none was ever accepted; changes
///                  are then possible at any time
/// \param unix_ms   present time in milliseconds since the Unix epoch
/// \returns `forbidden` outside the windows
[[nodiscard]] absl::Status check_break(const plan_document* in_force,
                                       std::int64_t unix_ms);

/// Checks that the actor may make this edit.
///
/// \param current  present section; version 0 if it does not exist
/// \returns `forbidden` if another team owns the section or the edit would
///          change its owner, `not_found` if a section to remove does not
///          exist, `invalid_argument` if a new section names no owner
[[nodiscard]] absl::Status check_edit(const plan_actor& actor,
                                      const section_edit& edit,
                                      const plan_section& current);

} // namespace egretspindle

#endif
