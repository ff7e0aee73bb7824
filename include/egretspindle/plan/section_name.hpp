/// \file
/// Names, owners and order of sections.

#ifndef EGRETSPINDLE_PLAN_SECTION_NAME_HPP
#define EGRETSPINDLE_PLAN_SECTION_NAME_HPP

#include "egretspindle/plan/plan_section.hpp"

#include <absl/status/status.h>
#include <absl/types/span.h>

#include <string>
#include <string_view>

namespace egretspindle
{

/// Returns whether a name is `team.NAME`, `service.KIND`, `batch.KIND`,
/// `hosts` or `break`.
[[nodiscard]] bool is_section_name(std::string_view name);

/// Checks the name of a section and that its text is TOML without tables.
///
/// Keys and values are checked by `validate_plan`.
///
/// \returns `invalid_argument`, or `too_large` above `max_plan_bytes`
[[nodiscard]] absl::Status check_section_text(std::string_view name,
                                              std::string_view text);

/// Returns the team that owns a section: the team itself for `team.NAME`, the
/// value of the key `team` otherwise. Empty if there is none.
[[nodiscard]] std::string section_owner(std::string_view name,
                                        std::string_view text);

/// Assembles the document from the sections that are not removed: groups in the
/// order team, service, batch, hosts, break, and sorted by name within a group.
[[nodiscard]] std::string
assemble_document(absl::Span<const plan_section> sections);

} // namespace egretspindle

#endif
