/// \file
/// Encoding of jobs as records in the store.

#ifndef EGRETSPINDLE_JOBS_JOB_RECORD_HPP
#define EGRETSPINDLE_JOBS_JOB_RECORD_HPP

#include "egretspindle/jobs/job.hpp"

#include <absl/status/statusor.h>

#include <string>
#include <string_view>

namespace egretspindle
{

/// Encodes a specification as JSON. It is the same in all records of a job, so
/// callers keep the result.
[[nodiscard]] std::string encode_spec(const job_spec& spec);

/// Encodes a job as two lines of JSON: its state, then its specification.
///
/// The tasks and the specification are left out once the job has ended and
/// none of its runs can be executing.
///
/// \param encoded_spec  result of `encode_spec`
[[nodiscard]] std::string encode_job(const job& value,
                                     std::string_view encoded_spec);

/// Decodes the record of a job. Without a second line, the specification and
/// the occurrences of the result are empty.
///
/// \returns `invalid_argument` when the text is malformed
[[nodiscard]] absl::StatusOr<job> decode_job(const std::string& id,
                                             std::string_view text);

} // namespace egretspindle

#endif
