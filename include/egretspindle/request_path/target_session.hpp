/// \file
/// Contact of a rack owner with one target.

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

/// State of the contact with a target; guarded by the rack's mutex.
struct target_session
{
    host_entry entry;
    std::shared_ptr<target_client> client;
    fencing_token token;
    bool may_command = true;      ///< false while a claim is missing
    bool has_contact = false;     ///< answered since the rack was acquired
    bool is_reachable = false;    ///< answered the last renewal
    bool has_other_owner = false; ///< rejected the token as stale
    std::int64_t clock_ms = 0;    ///< last reading of its clock
    time_point clock_received;    ///< when that reading arrived
    std::string boot_id;
    time_point lease_bound;       ///< every lease granted here is over then
    time_point last_renewal_base; ///< arrival of the reading of the last one
    std::thread thread;
    bool is_stopping = false;
};

/// Returns the end of a lease on the target's clock; 0 before the first
/// reading of its clock.
[[nodiscard]] std::int64_t lease_until_ms(const target_session& session,
                                          const rack_options& options);

/// Returns the local time at which a lease that is based on the last reading
/// of the target's clock has certainly expired.
[[nodiscard]] time_point lease_bound_of(time_point clock_received,
                                        const rack_options& options);

} // namespace egretspindle

#endif
