/// \file
/// Summary of a run per class of request.

#ifndef EGRETSPINDLE_TOOLS_DEMO_CLASS_SUMMARY_HPP
#define EGRETSPINDLE_TOOLS_DEMO_CLASS_SUMMARY_HPP

#include "support/checks.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace egretspindle
{

/// Counts and latencies of one class of request.
struct class_summary
{
    std::string name;
    std::size_t requests = 0;
    std::size_t done = 0;
    std::size_t not_run = 0;
    std::size_t unknown = 0;
    std::size_t other = 0;
    /// Latencies of the requests that are done, from the first submission to
    /// the answer of an urgent request, and to the end of the execution of a
    /// batch request, since its caller does not wait.
    std::int64_t median_ms = 0;
    std::int64_t p99_ms = 0;
    std::size_t executions = 0;
    std::size_t executions_of_done = 0;
};

/// Summarizes a run: urgent idempotent, urgent non-idempotent, batch.
///
/// \param replies  final reply of each request
[[nodiscard]] std::vector<class_summary>
summarize(const test::run_record& record,
          const std::vector<test::caller_reply>& replies);

} // namespace egretspindle

#endif
