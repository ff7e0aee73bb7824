#include "egretspindle/request_path/target_session.hpp"

namespace egretspindle
{

std::int64_t lease_expiry_ms(const target_session& session,
                             const rack_options& options)
{
    return session.target_clock_ms == 0
               ? 0
               : session.target_clock_ms + options.lease.count();
}

time_point local_lease_expiry(time_point reading_received_at,
                              const rack_options& options)
{
    const auto max_local_duration = std::chrono::duration_cast<milliseconds>(
        options.lease * (1.0 + options.clock_drift));
    return reading_received_at + max_local_duration + options.lease_margin;
}

} // namespace egretspindle
