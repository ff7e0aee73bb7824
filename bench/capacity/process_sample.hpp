/// \file
/// Resource usage of a process since its start.

#ifndef EGRETSPINDLE_BENCH_CAPACITY_PROCESS_SAMPLE_HPP
#define EGRETSPINDLE_BENCH_CAPACITY_PROCESS_SAMPLE_HPP

#include <string>
#include <sys/types.h>

namespace egretspindle::bench
{

/// Totals since the start of a process.
struct process_sample
{
    double cpu_seconds = 0;
    double resident_mb = 0; ///< current value
    double peer_bytes = 0;  ///< payload of messages it sent and their replies
    double io_bytes = 0;    ///< read and written, sockets and logs included
};

/// Reads the totals of an entry host.
///
/// \param address  caller address of the host
[[nodiscard]] process_sample sample_process(pid_t pid,
                                            const std::string& address);

} // namespace egretspindle::bench

#endif
