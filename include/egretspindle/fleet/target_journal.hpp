/// \file
/// List of targets with the changes that led to it.

#ifndef EGRETSPINDLE_FLEET_TARGET_JOURNAL_HPP
#define EGRETSPINDLE_FLEET_TARGET_JOURNAL_HPP

#include "egretspindle/fleet/target_entry.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace egretspindle
{

/// List of targets by id. Each update has a number, its revision.
struct target_journal
{
    std::map<std::string, target_entry> entries;
    std::map<std::string, std::int64_t> changed_at; ///< revision, by id
    std::map<std::string, std::int64_t> removed_at; ///< revision, by former id
    std::int64_t revision = 0;                      ///< 0: no list yet
    /// Removals up to this revision are forgotten.
    std::int64_t forgotten = 0;
};

/// Difference between two revisions of a list.
struct target_delta
{
    bool is_whole = false; ///< the entries replace the whole list
    std::vector<target_entry> entries;
    std::vector<std::string> removed;
    std::int64_t revision = 0; ///< of the resulting list
};

/// Replaces the list. Entries count as unchanged if they differ in nothing but
/// `remaining_ms`.
///
/// \returns whether there is a new revision; always for the first list
bool update_list(target_journal& journal,
                 const std::map<std::string, target_entry>& entries);

/// Returns the changes since a revision, or the whole list if the journal does
/// not reach back to it.
[[nodiscard]] target_delta changes_since(const target_journal& journal,
                                         std::int64_t revision);

/// Applies changes to a copy of the list.
void apply_delta(std::map<std::string, target_entry>& entries,
                 const target_delta& delta);

} // namespace egretspindle

#endif
