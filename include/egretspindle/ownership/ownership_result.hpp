/// \file
/// Handlers for the results of calls and for messages from other hosts.

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

/// Applies the result of reading an owner row.
void on_row_read(ownership_state& state, const ownership_action& action,
                 const absl::StatusOr<store_row>& row, time_point now);

/// Applies the result of scanning the owner rows of the data centre.
void on_rows_scanned(ownership_state& state,
                     const absl::StatusOr<std::vector<store_row>>& rows,
                     time_point now);

/// Applies the result of writing an owner row.
void on_row_written(ownership_state& state, const ownership_action& action,
                    const absl::StatusOr<commit_result>& result,
                    time_point now);

/// Applies the result of claiming a target.
void on_target_claimed(ownership_state& state, const ownership_action& action,
                       const absl::StatusOr<fencing_token>& token,
                       time_point now);

/// Applies the reply of an earlier owner to a release request.
void on_release_answered(ownership_state& state, const ownership_action& action,
                         const absl::StatusOr<rack_release>& answer,
                         time_point now);

/// Handles the release request of a new owner, or the offer of a rack by an
/// owner that is shutting down.
///
/// \returns the reply, still without the last renewals; the `lost` event has
///          to be delivered before it is sent
[[nodiscard]] rack_release on_release_requested(ownership_state& state,
                                                const std::string& sender,
                                                const rack_release& message,
                                                time_point now);

/// Gives up a rack because a target has seen a higher token.
///
/// \param seen_epoch  epoch that the target reported, or 0 if it reported none
void on_stale_epoch_seen(ownership_state& state, const rack_id& id,
                         std::int64_t seen_epoch, time_point now);

} // namespace egretspindle

#endif
