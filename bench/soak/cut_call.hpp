/// \file
/// Request that was cut off.

#ifndef EGRETSPINDLE_BENCH_SOAK_CUT_CALL_HPP
#define EGRETSPINDLE_BENCH_SOAK_CUT_CALL_HPP

#include <cstdint>
#include <string>

namespace egretspindle::bench
{

/// Request on a kept-open connection that the host closed instead of
/// responding.
struct cut_call
{
    std::string host;
    std::string method;
    std::string job;
    std::int64_t sent_ms = 0;
    std::int64_t closed_ms = 0;
};

} // namespace egretspindle::bench

#endif
