#include "state_checks.hpp"

#include "disruptions.hpp"

#include <algorithm>

namespace egretspindle::bench
{

namespace
{

bool has_exhausted_attempts(const soak_record& record, const soak_job& job,
                            std::int64_t at_ms)
{
    const auto is_failure = [at_ms](const execution& item)
    {
        return item.outcome == "failed" && item.ended_ms <= at_ms;
    };
    return std::any_of(record.runs.begin(), record.runs.end(),
                       [&](const auto& item)
                       {
                           return job_of(item.first) == job.id &&
                                  std::count_if(
                                      item.second.begin(), item.second.end(),
                                      is_failure) >= record.max_attempts;
                       });
}

bool is_cancel_sent(const soak_job& job, std::int64_t at_ms)
{
    return std::any_of(job.calls.begin(), job.calls.end(),
                       [at_ms](const job_call& item) {
                           return item.method == "DELETE" &&
                                  item.sent_ms <= at_ms;
                       });
}

bool is_final_state(const std::string& state)
{
    return state == "completed" || state == "failed" || state == "cancelled";
}

void check_states_of(const soak_record& record, const soak_job& job,
                     std::vector<check_failure>& failures)
{
    const job_call* final_call = nullptr;
    for (const job_call& call : job.calls)
    {
        const bool is_unfounded =
            (call.state == "failed" &&
             !has_exhausted_attempts(record, job, call.answered_ms)) ||
            (call.state == "cancelled" &&
             !is_cancel_sent(job, call.answered_ms));
        if (is_unfounded)
        {
            add_failure(failures, "failures and cancellations have a cause",
                        "job {}, accepted at {}: {} showed '{}' at {}", job.id,
                        job.accepted_ms, call.host, call.state,
                        call.answered_ms);
            return;
        }
        if (final_call != nullptr && call.sent_ms >= final_call->answered_ms &&
            !call.state.empty() && call.state != final_call->state &&
            !is_disrupted(record, call.host, call.sent_ms, call.answered_ms))
        {
            add_failure(failures, "final states stay",
                        "job {}: '{}' at {} by {}, '{}' at {} by {}", job.id,
                        final_call->state, final_call->answered_ms,
                        final_call->host, call.state, call.answered_ms,
                        call.host);
            return;
        }
        if (final_call == nullptr && is_final_state(call.state))
        {
            final_call = &call;
        }
    }
}

} // namespace

void check_shown_states(const soak_record& record,
                        std::vector<check_failure>& failures)
{
    for (const auto& [id, job] : record.jobs)
    {
        check_states_of(record, *job, failures);
        if (job->accepted_ms > 0 && !job->is_known_at_end)
        {
            add_failure(failures, "accepted jobs are answered at the end",
                        "job {}, accepted at {}: no 200 to a query until {} ms "
                        "after the end of the faults",
                        job->id, job->accepted_ms,
                        record.finished_ms - record.faults_ended_ms);
        }
    }
}

} // namespace egretspindle::bench
