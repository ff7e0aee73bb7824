/// \file
/// Interface of the scheduler for its callers.

#ifndef EGRETSPINDLE_FLEET_CALLER_PORT_HPP
#define EGRETSPINDLE_FLEET_CALLER_PORT_HPP

#include "egretspindle/jobs/job_spec.hpp"

#include <chrono>
#include <cstdint>
#include <string>

namespace egretspindle
{

/// Answer to a submission.
enum class submit_verdict
{
    accepted, ///< the job is stored durably
    refused,  ///< this attempt has not stored the job
    unknown,  ///< the job may have been stored
};

/// Answer to a submission, with advice for the next attempt.
struct submit_answer
{
    submit_verdict verdict = submit_verdict::unknown;
    std::int64_t retry_after_ms = 0;
};

/// Answer to a query of a job, or to its cancellation.
enum class lookup_verdict
{
    known,
    absent,  ///< no job has this id
    unknown, ///< neither the owner nor the store answered in time
};

/// State of a job as shown to its caller.
struct job_answer
{
    lookup_verdict verdict = lookup_verdict::unknown;
    std::string state;
};

/// Handles requests of callers. Usable from several threads.
class caller_port
{
public:
    virtual ~caller_port() = default;

    [[nodiscard]] virtual submit_answer
    submit(const std::string& queue, const std::string& id, job_spec spec,
           std::chrono::milliseconds budget) = 0;
    [[nodiscard]] virtual job_answer
    query(const std::string& id, std::chrono::milliseconds budget) = 0;
    [[nodiscard]] virtual job_answer
    cancel(const std::string& id, std::chrono::milliseconds budget) = 0;

    /// Returns the number of accepted jobs of a queue that have not started.
    [[nodiscard]] virtual std::int64_t pending(const std::string& queue) = 0;
};

} // namespace egretspindle

#endif
