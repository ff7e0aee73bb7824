/// \file
/// Records that the checks judge.

#ifndef EGRETSPINDLE_BENCH_SOAK_EVIDENCE_HPP
#define EGRETSPINDLE_BENCH_SOAK_EVIDENCE_HPP

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

/// Time of an injected fault, by the steady clock.
struct fault_window
{
    std::string text;
    std::string victim;
    std::int64_t begun_ms = 0;
    std::int64_t ended_ms = 0;
};

/// Time of a planned stop of a host.
struct planned_stop
{
    std::int64_t begun_ms = 0; ///< SIGTERM
    std::int64_t gone_ms = 0;  ///< 0: not yet, or killed meanwhile
};

} // namespace egretspindle::bench

#endif
