#include "egretspindle/request_path/target_session.hpp"

namespace egretspindle
{

std::int64_t lease_until_ms(const target_session& session,
                            const rack_options& options)
{
    return session.clock_ms == 0 ? 0 : session.clock_ms + options.lease.count();
}

time_point lease_bound_of(time_point clock_received,
                          const rack_options& options)
{
    const auto stretched = std::chrono::duration_cast<milliseconds>(
        options.lease * (1.0 + options.clock_drift));
    return clock_received + stretched + options.lease_margin;
}

} // namespace egretspindle
