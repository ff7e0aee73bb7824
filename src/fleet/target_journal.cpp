#include "egretspindle/fleet/target_journal.hpp"

#include <algorithm>
#include <iterator>

namespace egretspindle
{

namespace
{

// Several times the removals of a busy minute. A copy that misses more of them
// gets the whole list.
constexpr std::size_t max_removals = 1'000;

void forget_removals(target_journal& journal)
{
    while (journal.removed_at.size() > max_removals)
    {
        const auto oldest = std::min_element(
            journal.removed_at.begin(), journal.removed_at.end(),
            [](const auto& lhs, const auto& rhs)
            { return lhs.second < rhs.second; });
        journal.forgotten = std::max(journal.forgotten, oldest->second);
        journal.removed_at.erase(oldest);
    }
}

} // namespace

bool update_list(target_journal& journal,
                 const std::map<std::string, target_entry>& entries)
{
    const std::int64_t next = journal.revision + 1;
    bool is_changed = journal.revision == 0;
    for (auto it = journal.entries.begin(); it != journal.entries.end();)
    {
        if (entries.count(it->first) != 0)
        {
            ++it;
            continue;
        }
        journal.changed_at.erase(it->first);
        journal.removed_at[it->first] = next;
        it = journal.entries.erase(it);
        is_changed = true;
    }
    for (const auto& [id, entry] : entries)
    {
        const auto [it, is_new] = journal.entries.emplace(id, entry);
        if (is_new || differs(it->second, entry))
        {
            it->second = entry;
            journal.changed_at[id] = next;
            journal.removed_at.erase(id);
            is_changed = true;
        }
    }
    journal.revision = is_changed ? next : journal.revision;
    forget_removals(journal);
    return is_changed;
}

target_delta changes_since(const target_journal& journal, std::int64_t revision)
{
    target_delta delta;
    delta.revision = journal.revision;
    delta.is_whole = revision <= 0 || revision < journal.forgotten ||
                     revision > journal.revision;
    for (const auto& [id, entry] : journal.entries)
    {
        if (delta.is_whole || journal.changed_at.at(id) > revision)
        {
            delta.entries.push_back(entry);
        }
    }
    for (const auto& [id, removed_at] : journal.removed_at)
    {
        if (!delta.is_whole && removed_at > revision)
        {
            delta.removed.push_back(id);
        }
    }
    return delta;
}

void apply_delta(std::map<std::string, target_entry>& entries,
                 const target_delta& delta)
{
    if (delta.is_whole)
    {
        entries.clear();
    }
    for (const std::string& id : delta.removed)
    {
        entries.erase(id);
    }
    for (const target_entry& entry : delta.entries)
    {
        entries.insert_or_assign(entry.id, entry);
    }
}

} // namespace egretspindle
