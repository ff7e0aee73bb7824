/// \file
/// Interface to one target.

#ifndef EGRETSPINDLE_ADAPTERS_TARGET_CLIENT_HPP
#define EGRETSPINDLE_ADAPTERS_TARGET_CLIENT_HPP

#include "egretspindle/adapters/ack_command.hpp"
#include "egretspindle/adapters/claim_command.hpp"
#include "egretspindle/adapters/fencing_token.hpp"
#include "egretspindle/adapters/renew_command.hpp"
#include "egretspindle/adapters/start_command.hpp"
#include "egretspindle/adapters/stop_command.hpp"
#include "egretspindle/adapters/target_state.hpp"
#include "egretspindle/adapters/task_state.hpp"
#include "egretspindle/adapters/throttle_command.hpp"

#include <absl/status/statusor.h>

#include <chrono>
#include <memory>
#include <string>

namespace egretspindle
{

/// Client of one target. Usable from several threads.
///
/// Every call returns `unavailable` when nothing was sent,
/// `deadline_exceeded` when the command may have taken effect, and
/// `stale_epoch` when the target has seen a higher fencing token.
class target_client
{
public:
    virtual ~target_client() = default;

    /// Starts an attempt at most once per key and attempt number.
    ///
    /// \returns `overloaded` when the target has no free capacity, `conflict`
    ///          when the attempt was stopped before, or when its latest start
    ///          or its lease has passed; in each case nothing was started
    [[nodiscard]] virtual absl::StatusOr<task_state>
    start(const start_command& command) = 0;

    /// Returns the state of an attempt; waits up to `wait` for its end.
    [[nodiscard]] virtual absl::StatusOr<task_state>
    task(const std::string& key, int attempt,
         std::chrono::milliseconds wait) = 0;

    /// Stops an attempt, or prevents its start.
    [[nodiscard]] virtual absl::StatusOr<task_state>
    stop(const stop_command& command) = 0;

    /// Limits an attempt to a share of its reservation.
    [[nodiscard]] virtual absl::StatusOr<task_state>
    throttle(const throttle_command& command) = 0;

    /// Acknowledges a result, which the target may then discard.
    [[nodiscard]] virtual absl::Status
    acknowledge(const ack_command& command) = 0;

    /// Renews the leases of all tasks on the target.
    [[nodiscard]] virtual absl::StatusOr<target_state>
    renew(const renew_command& command) = 0;

    /// Returns the state of the target without side effects.
    [[nodiscard]] virtual absl::StatusOr<target_state> state() = 0;

    /// Requests a new term after the lease of the owner has expired.
    [[nodiscard]] virtual absl::StatusOr<fencing_token>
    claim(const claim_command& command) = 0;
};

/// Creates an HTTP client of the target at `address` (`ip:port`).
///
/// \returns `invalid_argument` when the address is not valid
[[nodiscard]] absl::StatusOr<std::unique_ptr<target_client>>
make_http_target_client(const std::string& address);

} // namespace egretspindle

#endif
