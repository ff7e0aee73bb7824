/// \file
/// Single requests about jobs, outside of the clients.

#ifndef EGRETSPINDLE_BENCH_SOAK_JOB_QUERY_HPP
#define EGRETSPINDLE_BENCH_SOAK_JOB_QUERY_HPP

#include "client.hpp"
#include "soak_job.hpp"

#include <string>

namespace egretspindle::bench
{

/// Returns the state of a job in the body of a response, or an empty text.
[[nodiscard]] std::string state_in(const std::string& body);

/// Sends a request about a job on a connection of its own.
///
/// \param method  `POST`, `GET` or `DELETE`
[[nodiscard]] job_call call_host(const host_endpoint& host, const soak_job& job,
                                 const std::string& method);

} // namespace egretspindle::bench

#endif
