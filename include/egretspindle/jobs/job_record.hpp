/// \file
/// Encoding of jobs as records in the store.

#ifndef EGRETSPINDLE_JOBS_JOB_RECORD_HPP
#define EGRETSPINDLE_JOBS_JOB_RECORD_HPP

#include "egretspindle/jobs/job.hpp"

#include <absl/status/statusor.h>

#include <cstddef>
#include <string>
#include <string_view>

namespace egretspindle
{

/// Encodes a specification as JSON. It is the same in all records of a job, so
/// callers keep the result.
[[nodiscard]] std::string encode_spec(const job_spec& spec);

/// Encodes a job as two lines of JSON: its state, then its specification.
///
/// Checkpoints are left out that no run can start from any more: of tasks that
/// are done, and all once the job has ended. The tasks and the specification
/// are left out once the job has ended and none of its runs can be executing.
///
/// \param encoded_spec  result of `encode_spec`
[[nodiscard]] std::string encode_job(const job& value,
                                     std::string_view encoded_spec);

/// Maximum size of a record in bytes: the limit of the platform for a row.
constexpr std::size_t max_record_bytes = 65'536;

/// Returns a lower bound for the size of the record that a job has when all of
/// its occurrences are due, in bytes. The record also has the names of racks,
/// checkpoints and numbers of runs.
[[nodiscard]] std::size_t min_record_bytes(const job_spec& spec);

/// Decodes the record of a job. Without a second line, the specification and
/// the occurrences of the result are empty.
///
/// \returns `invalid_argument` when the text is malformed
[[nodiscard]] absl::StatusOr<job> decode_job(const std::string& id,
                                             std::string_view text);

} // namespace egretspindle

#endif
