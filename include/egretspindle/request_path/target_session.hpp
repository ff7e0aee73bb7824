/// \file
/// Session of a rack owner with one target.

#ifndef EGRETSPINDLE_REQUEST_PATH_TARGET_SESSION_HPP
#define EGRETSPINDLE_REQUEST_PATH_TARGET_SESSION_HPP

#include "egretspindle/adapters/fencing_token.hpp"
#include "egretspindle/adapters/host_entry.hpp"
#include "egretspindle/adapters/target_client.hpp"
#include "egretspindle/core/clock.hpp"
#include "egretspindle/request_path/rack_options.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <thread>

namespace egretspindle
{

/// State of the session with a target. Guarded by the mutex of the rack
/// runtime.
struct target_session
{
    host_entry entry;
    std::shared_ptr<target_client> client;
    fencing_token token;
    bool may_command = true;      ///< false while the target's claim is missing
    bool has_contact = false;     ///< responded since the rack was acquired
    bool is_reachable = false;    ///< responded to the last renewal
    bool has_other_owner = false; ///< rejected the token as stale
    /// Last reading of the target's clock, in ms; 0 before the first one.
    std::int64_t target_clock_ms = 0;
    /// Local time at which that reading arrived.
    time_point reading_received_at;
    std::string boot_id;
    /// Local time by which all leases that this host granted have expired;
    /// `time_point()` while it has granted none.
    time_point leases_expired_by;
    /// Arrival of the clock reading on which the last renewal that granted a
    /// lease was based. Leases that are granted by starts do not count.
    time_point last_renewal_reading;
    std::thread thread;
    bool is_stopping = false;
};

/// Returns the expiry of a lease that is granted now, in ms on the target's
/// clock: the last reading of that clock plus `rack_options::lease`. Returns 0
/// before the first reading, which grants no lease.
[[nodiscard]] std::int64_t lease_expiry_ms(const target_session& session,
                                           const rack_options& options);

/// Returns the local time by which a lease has expired on the target, for any
/// clock drift up to `rack_options::clock_drift`.
///
/// \param reading_received_at  local time at which the clock reading arrived
///                             that the lease is based on
/// \param options              lease time, clock drift and margin
[[nodiscard]] time_point local_lease_expiry(time_point reading_received_at,
                                            const rack_options& options);

} // namespace egretspindle

#endif
