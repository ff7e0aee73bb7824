/// \file
/// Result of a transaction.

#ifndef EGRETSPINDLE_ADAPTERS_COMMIT_RESULT_HPP
#define EGRETSPINDLE_ADAPTERS_COMMIT_RESULT_HPP

#include "egretspindle/adapters/store_row.hpp"

#include <cstdint>
#include <vector>

namespace egretspindle
{

/// Result of a transaction.
struct commit_result
{
    bool committed = false;
    std::int64_t version = 0; ///< of all rows that were written
    /// Current rows whose version differed from the expected one.
    std::vector<store_row> conflicts;
};

/// Visits the fields of `commit_result` for the codec.
template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const commit_result* /*tag*/)
{
    visit("committed", value.committed);
    visit("version", value.version);
    visit("conflicts", value.conflicts);
}

} // namespace egretspindle

#endif
