/// \file
/// Reaction to the results of calls and to messages.

#ifndef EGRETSPINDLE_OWNERSHIP_OWNERSHIP_RESULT_HPP
#define EGRETSPINDLE_OWNERSHIP_OWNERSHIP_RESULT_HPP

#include "egretspindle/adapters/commit_result.hpp"
#include "egretspindle/adapters/fencing_token.hpp"
#include "egretspindle/adapters/store_row.hpp"
#include "egretspindle/ownership/ownership_action.hpp"
#include "egretspindle/ownership/ownership_state.hpp"
#include "egretspindle/protocol/rack_release.hpp"

#include <absl/status/statusor.h>

#include <string>
#include <vector>

namespace egretspindle
{

/// Takes over a row that was read.
void row_read(ownership_state& state, const ownership_action& action,
              const absl::StatusOr<store_row>& row, time_point now);

/// Takes over the rows of the data centre.
void rows_scanned(ownership_state& state,
                  const absl::StatusOr<std::vector<store_row>>& rows,
                  time_point now);

/// Takes over the result of a write of the owner row.
void row_written(ownership_state& state, const ownership_action& action,
                 const absl::StatusOr<commit_result>& result, time_point now);

/// Takes over the result of a claim.
void target_claimed(ownership_state& state, const ownership_action& action,
                    const absl::StatusOr<fencing_token>& token, time_point now);

/// Takes over the answer of a previous owner.
void release_answered(ownership_state& state, const ownership_action& action,
                      const absl::StatusOr<rack_release>& answer,
                      time_point now);

/// Handles a new owner's request, or the offer of an owner that stops.
///
/// \returns the reply without last renewals; `lost` has to be delivered
///          before it is sent
[[nodiscard]] rack_release release_requested(ownership_state& state,
                                             const std::string& sender,
                                             const rack_release& message,
                                             time_point now);

/// Gives a rack up because a target saw a higher token.
///
/// \param seen_epoch  epoch the target reported, or 0
void stale_epoch_seen(ownership_state& state, const rack_id& id,
                      std::int64_t seen_epoch, time_point now);

} // namespace egretspindle

#endif
