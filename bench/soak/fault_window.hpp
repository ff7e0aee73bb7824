/// \file
/// Time of an injected fault.

#ifndef EGRETSPINDLE_BENCH_SOAK_FAULT_WINDOW_HPP
#define EGRETSPINDLE_BENCH_SOAK_FAULT_WINDOW_HPP

#include <cstdint>
#include <string>

namespace egretspindle::bench
{

/// Time of an injected fault, by the steady clock.
struct fault_window
{
    std::string text;
    std::string victim;
    std::int64_t begun_ms = 0;
    std::int64_t ended_ms = 0;
};

} // namespace egretspindle::bench

#endif
