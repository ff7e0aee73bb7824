/// \file
/// Durable records of intents to start long-running runs.

#ifndef EGRETSPINDLE_SCHEDULER_INTENT_ROWS_HPP
#define EGRETSPINDLE_SCHEDULER_INTENT_ROWS_HPP

#include "egretspindle/core/clock.hpp"
#include "egretspindle/fleet/table_store.hpp"
#include "egretspindle/rack/rack_state.hpp"

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>

namespace egretspindle
{

/// Recorded intents of a rack.
struct intent_record
{
    /// The owner did not record the intents of all runs, since they did not fit
    /// into a row.
    bool is_incomplete = false;
    start_intents intents;
    std::int64_t version = 0; ///< of the row; 0: none
};

/// Result of a write.
struct intent_write
{
    bool is_committed = false;
    std::int64_t version = 0; ///< of the row as it is now
    /// The write failed because the rack has another owner.
    bool is_replaced = false;
};

/// Reads the record of a rack, which is empty if there is no row. A malformed
/// row counts as incomplete.
///
/// \param has_fences  the record is in the part of the rack, beside its fence
///                    row (`rack_fences_table`); else in the empty part
[[nodiscard]] absl::StatusOr<intent_record>
read_intents(table_store& store, const std::string& rack, milliseconds timeout,
             bool has_fences = false);

/// Replaces the record of a rack, if the row has the version of `record` and
/// this host owns the rack. A record that is too large for a row is written as
/// incomplete.
///
/// \param token  fencing token of this host's ownership of the rack
/// \param has_fences  see `read_intents`
[[nodiscard]] absl::StatusOr<intent_write>
write_intents(table_store& store, const std::string& rack, std::int64_t token,
              const intent_record& record, milliseconds timeout,
              bool has_fences = false);

} // namespace egretspindle

#endif
