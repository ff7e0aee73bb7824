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
    std::int64_t clock_ms = 0;    ///< last reading of its clock
    time_point clock_received;    ///< when that reading arrived
    std::string boot_id;
    time_point lease_bound;       ///< all granted leases have expired by then
    time_point last_renewal_base; ///< `clock_received` of the last renewal
    std::thread thread;
    bool is_stopping = false;
};

/// Returns the expiry of a lease on the target's clock, based on the last
/// reading of that clock; 0 before the first reading.
[[nodiscard]] std::int64_t lease_until_ms(const target_session& session,
                                          const rack_options& options);

/// Returns the local time by which a lease has expired on the target, for any
/// clock drift that the options allow.
///
/// \param clock_received  arrival of the clock reading that the lease is based
///                        on
/// \param options         lease time, clock drift and margin
[[nodiscard]] time_point lease_bound_of(time_point clock_received,
                                        const rack_options& options);

} // namespace egretspindle

#endif
