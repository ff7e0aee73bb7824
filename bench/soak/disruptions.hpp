/// \file
/// Unplanned faults that excuse a host.

#ifndef EGRETSPINDLE_BENCH_SOAK_DISRUPTIONS_HPP
#define EGRETSPINDLE_BENCH_SOAK_DISRUPTIONS_HPP

#include "soak_record.hpp"

#include <cstdint>
#include <string>

namespace egretspindle::bench
{

/// Returns whether an unplanned fault can have kept a host from answering
/// requests of a time span: a fault of a host, of its link to callers or of the
/// store, in the span or in the 3 s before it (`contactMs` of the platform).
[[nodiscard]] bool is_disrupted(const soak_record& record,
                                const std::string& host, std::int64_t from_ms,
                                std::int64_t until_ms);

} // namespace egretspindle::bench

#endif
