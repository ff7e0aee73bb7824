/// \file
/// Checks of requests without a response.

#ifndef EGRETSPINDLE_BENCH_SOAK_REQUEST_CHECKS_HPP
#define EGRETSPINDLE_BENCH_SOAK_REQUEST_CHECKS_HPP

#include "soak_record.hpp"

#include <vector>

namespace egretspindle::bench
{

/// Checks that hosts answer the requests that they have received. Requests near
/// an unplanned fault of a host, of a link to the callers or of the store are
/// left out.
void check_unanswered_calls(const soak_record& record,
                            std::vector<check_failure>& failures);

} // namespace egretspindle::bench

#endif
