/// \file
/// Executions on targets, read from their journals.

#ifndef EGRETSPINDLE_TESTS_SUPPORT_EXECUTIONS_HPP
#define EGRETSPINDLE_TESTS_SUPPORT_EXECUTIONS_HPP

#include "common/journal_event.hpp"
#include "common/store_event.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace egretspindle::test
{

/// One execution of an attempt on a target. Times are Unix epoch.
struct execution
{
    std::string key;
    int attempt = 0;
    std::string target;
    std::string boot_id;
    std::string team;
    std::string kind;
    bool urgent = false;
    std::int64_t start_ms = 0;
    std::int64_t last_tick_ms = 0; ///< latest time at which it certainly ran
    std::string ended;             ///< event that ended it; empty: none
    bool ok = false;
    double resumed_ms = 0; ///< work already done at the start
    double done_ms = 0;    ///< work done at the end
};

/// Reads the journal of a target.
[[nodiscard]] std::vector<standin::journal_event>
read_target_journal(const std::string& path);

/// Reads the journal of the store.
[[nodiscard]] std::vector<standin::store_event>
read_store_journal(const std::string& path);

/// Pairs the starts of journals with their ends. An execution without an end,
/// as of a killed target, lasts until the latest tick of its boot.
[[nodiscard]] std::vector<execution>
executions_of(const std::vector<standin::journal_event>& events);

/// Returns the executions of one request.
[[nodiscard]] std::vector<execution>
executions_for(const std::vector<execution>& executions,
               const std::string& key);

} // namespace egretspindle::test

#endif
