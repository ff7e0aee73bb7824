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

/// Whether a submitted job was stored.
enum class submit_verdict
{
    accepted, ///< the job is stored durably
    refused,  ///< this submission has not stored the job
    unknown,  ///< the job may have been stored, or may be stored later
};

/// Answer to a submission, with advice for the next attempt.
struct submit_answer
{
    submit_verdict verdict = submit_verdict::unknown;
    std::int64_t retry_after_ms = 0; ///< delay before a retry; 0: no advice
};

/// Whether a job was found by a query or a cancellation.
enum class lookup_verdict
{
    known,   ///< the state of the job is given
    absent,  ///< no job has this id
    unknown, ///< neither the owner nor the store answered in time
};

/// State of a job as shown to its caller.
struct job_answer
{
    lookup_verdict verdict = lookup_verdict::unknown;
    std::string state; ///< empty unless the job is known
};

/// Handles requests of callers. Usable from several threads.
class caller_port
{
public:
    virtual ~caller_port() = default;

    /// Submits a job, and waits for the answer for at most `budget`.
    ///
    /// \param id  chosen by the caller; a second submission with it stores no
    ///            second job
    [[nodiscard]] virtual submit_answer
    submit(const std::string& queue, const std::string& id, job_spec spec,
           std::chrono::milliseconds budget) = 0;

    /// Returns the state of a job, after at most about `budget`.
    [[nodiscard]] virtual job_answer
    query(const std::string& id, std::chrono::milliseconds budget) = 0;

    /// Requests the cancellation of a job, and waits for the answer of its
    /// owner for at most `budget`. Returns the state of the job afterwards.
    [[nodiscard]] virtual job_answer
    cancel(const std::string& id, std::chrono::milliseconds budget) = 0;

    /// Returns the number of accepted jobs of a queue that have not started on
    /// this host and, by their latest heartbeat rows, on the other live hosts.
    [[nodiscard]] virtual std::int64_t pending(const std::string& queue) = 0;
};

} // namespace egretspindle

#endif
