/// \file
/// Records of soaks that tests make up.

#ifndef EGRETSPINDLE_TESTS_SOAK_MADE_UP_RECORD_HPP
#define EGRETSPINDLE_TESTS_SOAK_MADE_UP_RECORD_HPP

#include "soak_record.hpp"

#include <deque>
#include <string>
#include <utility>
#include <vector>

namespace egretspindle::test
{

/// Time at which the soak of a made-up record starts.
constexpr std::int64_t soak_begun_ms = 100'000;

/// Record with its jobs. The faults end at 30 s and the soak at 60 s.
struct made_up_record
{
    bench::soak_record value;
    std::deque<bench::soak_job> jobs;

    made_up_record()
    {
        value.faults_ended_ms = soak_begun_ms + 30'000;
        value.finished_ms = soak_begun_ms + 60'000;
        for (const char* target : {"t00", "t01"})
        {
            value.boots.push_back(
                {target, soak_begun_ms - 10'000, bench::still_running});
        }
    }

    /// Adds a job of one step that was accepted 1 s after the start and is
    /// known at the end.
    bench::soak_job& add_job(const std::string& id, int tasks = 1)
    {
        bench::soak_job job;
        job.id = id;
        job.accepted_ms = soak_begun_ms + 1'000;
        job.is_known_at_end = true;
        bench::soak_step step;
        step.count = tasks;
        job.steps.push_back(step);
        job.calls.push_back({"POST", "h0", 200, "", soak_begun_ms + 990,
                             soak_begun_ms + 1'000});
        jobs.push_back(std::move(job));
        value.jobs[id] = &jobs.back();
        return jobs.back();
    }

    /// Adds a run, with times since the start of the soak.
    void add_run(const std::string& task, const std::string& target,
                 std::int64_t from, std::int64_t until,
                 const std::string& outcome)
    {
        bench::execution item;
        item.target = target;
        item.run = static_cast<std::int64_t>(value.runs[task].size()) + 1;
        item.started_ms = soak_begun_ms + from;
        item.ended_ms = soak_begun_ms + until;
        item.outcome = outcome;
        value.runs[task].push_back(std::move(item));
    }

    /// Adds a request to `h0` that was cut after a time.
    bench::unanswered_call& add_cut(std::int64_t sent, std::int64_t cut_after)
    {
        bench::unanswered_call item;
        item.host = "h0";
        item.method = "GET";
        item.job = "0000000000000001";
        item.sent_ms = soak_begun_ms + sent;
        item.ended_ms = item.sent_ms + cut_after;
        item.limit_ms = 2'000;
        item.is_closed = true;
        value.unanswered_calls.push_back(std::move(item));
        return value.unanswered_calls.back();
    }

    void add_fault(const std::string& component, std::int64_t from,
                   std::int64_t until,
                   bench::fault_kind kind = bench::fault_kind::unplanned)
    {
        value.faults.push_back({component, component, soak_begun_ms + from,
                                soak_begun_ms + until, kind});
    }

    void add_stop(std::int64_t from, std::int64_t until)
    {
        value.stops["h0"].push_back(
            {soak_begun_ms + from, soak_begun_ms + until});
    }
};

/// Returns the names of the checks that failed, in order.
[[nodiscard]] inline std::vector<std::string>
names_of(const std::vector<bench::check_failure>& failures)
{
    std::vector<std::string> names;
    names.reserve(failures.size());
    for (const bench::check_failure& item : failures)
    {
        names.push_back(item.check);
    }
    return names;
}

} // namespace egretspindle::test

#endif
