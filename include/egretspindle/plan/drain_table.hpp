/// \file
/// Drained targets known to this host.

#ifndef EGRETSPINDLE_PLAN_DRAIN_TABLE_HPP
#define EGRETSPINDLE_PLAN_DRAIN_TABLE_HPP

#include "egretspindle/plan/drained_target.hpp"

#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace egretspindle
{

/// Drained targets as last read from the store, with the changes made through
/// this host since. All functions may be called from several threads.
class drain_table
{
public:
    /// Returns whether a target is drained.
    [[nodiscard]] bool is_drained(const std::string& target) const;

    /// Returns the drained targets sorted by name.
    [[nodiscard]] std::vector<drained_target> all() const;

    /// Replaces all entries.
    void assign(const std::vector<drained_target>& targets);

    /// Adds a drained target, or removes one that was resumed.
    void apply(const drained_target& target);

private:
    mutable std::mutex mutex_;
    std::map<std::string, drained_target> targets_;
};

} // namespace egretspindle

#endif
