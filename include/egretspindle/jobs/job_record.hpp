/// \file
/// Durable form of a job.

#ifndef EGRETSPINDLE_JOBS_JOB_RECORD_HPP
#define EGRETSPINDLE_JOBS_JOB_RECORD_HPP

#include "egretspindle/jobs/job.hpp"

#include <absl/status/statusor.h>

#include <string>
#include <string_view>

namespace egretspindle
{

/// Encodes a specification once, for all records of the job.
[[nodiscard]] std::string encode_spec(const job_spec& spec);

/// Encodes a job: its state on the first line, its specification behind.
///
/// The specification is left out once nothing of the job can run.
///
/// \param encoded_spec  result of `encode_spec`
[[nodiscard]] std::string encode_job(const job& value,
                                     std::string_view encoded_spec);

/// Decodes a record.
///
/// \returns `invalid_argument` when the text is not a record
[[nodiscard]] absl::StatusOr<job> decode_job(const std::string& id,
                                             std::string_view text);

} // namespace egretspindle

#endif
