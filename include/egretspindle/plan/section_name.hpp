/// \file
/// Names and order of sections.

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

/// Returns an error unless the text holds keys of one section only.
///
/// Whether keys and values are right is decided by `validate_plan`.
[[nodiscard]] absl::Status check_section_text(std::string_view name,
                                              std::string_view text);

/// Returns the team that owns a section: the team itself for `team.NAME`,
/// the value of `team` otherwise; empty when there is none.
[[nodiscard]] std::string section_owner(std::string_view name,
                                        std::string_view text);

/// Makes the document: groups in the order team, service, batch, hosts,
/// break, and names in order within a group.
[[nodiscard]] std::string
assemble_document(absl::Span<const plan_section> sections);

} // namespace egretspindle

#endif
