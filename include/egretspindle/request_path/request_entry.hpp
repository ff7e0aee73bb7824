/// \file
/// In-memory state of a request at its coordinator.

#ifndef EGRETSPINDLE_REQUEST_PATH_REQUEST_ENTRY_HPP
#define EGRETSPINDLE_REQUEST_PATH_REQUEST_ENTRY_HPP

#include "egretspindle/core/clock.hpp"
#include "egretspindle/core/request_reply.hpp"
#include "egretspindle/core/request_spec.hpp"
#include "egretspindle/request_path/request_record.hpp"

#include <absl/status/status.h>

#include <condition_variable>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>

namespace egretspindle
{

/// Request that this host coordinates. The mutex guards the members declared
/// after it and is not held during network calls.
struct request_entry
{
    std::string key;     ///< immutable
    request_spec spec;   ///< immutable
    time_point received; ///< immutable
    time_point deadline; ///< immutable; `time_point::max()` for none

    mutable std::mutex mutex;
    std::condition_variable changed; ///< signalled at each change of `reply`
    request_reply reply;             ///< current reply to callers
    request_record record;    ///< as last written, with later reports applied
    std::int64_t version = 0; ///< of the row; 0 when none is known
    bool is_record_uncertain = false; ///< the last write got no response
    bool cancel_requested = false;
    bool is_reply_recorded = false; ///< the final reply is recorded
    bool is_busy = false;           ///< a worker is processing the request
    int next_attempt = 1;           ///< lowest number for a new attempt
    bool may_have_run = false;      ///< some attempt may have started
    absl::Status error;             ///< returned instead of `reply` if set
    time_point next_poll;           ///< when to poll a running attempt next
    time_point ended;               ///< when the reply became final
};

using request_entry_ptr = std::shared_ptr<request_entry>;

/// Makes an entry for a new request.
[[nodiscard]] request_entry_ptr make_entry(const request_spec& spec,
                                           time_point now);

/// Makes an entry from a stored record.
///
/// \param key      of the request
/// \param record   as read
/// \param version  of the row
[[nodiscard]] request_entry_ptr make_entry(const std::string& key,
                                           const request_record& record,
                                           std::int64_t version,
                                           time_point now);

/// Returns the current reply to callers.
[[nodiscard]] request_reply reply_of(const request_entry& entry);

/// Waits until the reply is final, at most until `limit`.
///
/// \returns the reply at that time, final or not
[[nodiscard]] request_reply wait_for_end(request_entry& entry,
                                         time_point limit);

} // namespace egretspindle

#endif
