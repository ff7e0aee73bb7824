/// \file
/// Messages between the owners of job shards and the owners of racks.

#ifndef EGRETSPINDLE_SCHEDULER_OWNER_MESSAGES_HPP
#define EGRETSPINDLE_SCHEDULER_OWNER_MESSAGES_HPP

#include "egretspindle/jobs/job_spec.hpp"
#include "egretspindle/rack/image_name_codec.hpp"
#include "egretspindle/rack/queued_start.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace egretspindle
{

/// Run of a task of a step.
struct step_run
{
    std::int64_t index = 0;
    std::int64_t run = 0;
    std::string checkpoint;
    /// Was sent before, or found in a record: the receiver checks the record
    /// before it starts a run that it does not know.
    bool is_repeated = false;
};

/// Visits the fields of `step_run` for the codec.
template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const step_run* /*tag*/)
{
    visit("index", value.index);
    visit("run", value.run);
    visit("checkpoint", value.checkpoint);
    visit("repeated", value.is_repeated);
}

/// Starts of tasks of one step.
struct start_batch
{
    step_terms terms;
    std::vector<step_run> runs;
};

/// Visits the fields of `start_batch` for the codec.
template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const start_batch* /*tag*/)
{
    visit("terms", value.terms);
    visit("runs", value.runs);
}

/// Task and run.
struct run_ref
{
    std::string task;
    std::int64_t run = 0;
};

/// Visits the fields of `run_ref` for the codec.
template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const run_ref* /*tag*/)
{
    visit("task", value.task);
    visit("run", value.run);
}

/// Starts and stops for one rack. Repeating a message changes nothing.
struct rack_orders
{
    std::string rack;
    std::int64_t token = 0; ///< of the ownership that the sender knows
    std::vector<start_batch> starts;
    std::vector<run_ref> stops;
};

/// Visits the fields of `rack_orders` for the codec.
template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const rack_orders* /*tag*/)
{
    visit("rack", value.rack);
    visit("token", value.token);
    visit("starts", value.starts);
    visit("stops", value.stops);
}

/// Answer to orders.
struct rack_orders_reply
{
    /// The receiver owns the rack and will report the end of every run named.
    bool is_owner = false;
    std::int64_t token = 0; ///< of its ownership
};

/// Visits the fields of `rack_orders_reply` for the codec.
template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value,
                  const rack_orders_reply* /*tag*/)
{
    visit("owner", value.is_owner);
    visit("token", value.token);
}

/// News of a run, for the owner of its job.
struct run_report
{
    std::string what; ///< `started`, `ended` or `seen`
    std::string task;
    std::int64_t run = 0;
    std::string how; ///< name of a `run_end`
    std::string checkpoint;
    std::string target;
    std::string rack;
    std::int64_t token = 0;  ///< of the ownership that it was found under
    std::int64_t number = 0; ///< of a listed end; 0: concluded
};

/// Visits the fields of `run_report` for the codec.
template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const run_report* /*tag*/)
{
    visit("what", value.what);
    visit("task", value.task);
    visit("run", value.run);
    visit("how", value.how);
    visit("checkpoint", value.checkpoint);
    visit("target", value.target);
    visit("rack", value.rack);
    visit("token", value.token);
    visit("number", value.number);
}

/// Reports of one host.
struct report_batch
{
    std::vector<run_report> reports;
};

/// Visits the fields of `report_batch` for the codec.
template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const report_batch* /*tag*/)
{
    visit("reports", value.reports);
}

/// What the owner of a job says to a report.
struct report_verdict
{
    /// `recorded`: durable, or of no use; `retry`: not recorded yet;
    /// `stop`: the run is not wanted; `wanted`: `terms` describe the run.
    std::string verdict;
    step_terms terms;
};

/// Visits the fields of `report_verdict` for the codec.
template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const report_verdict* /*tag*/)
{
    visit("verdict", value.verdict);
    visit("terms", value.terms);
}

/// Answers to reports, in their order.
struct report_reply
{
    std::vector<report_verdict> verdicts;
};

/// Visits the fields of `report_reply` for the codec.
template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const report_reply* /*tag*/)
{
    visit("verdicts", value.verdicts);
}

/// Call of a caller, passed on to the owner of the job.
struct job_request
{
    std::string id;
    std::string queue;
    job_spec spec;
    std::int64_t budget_ms = 0;
};

/// Visits the fields of `job_request` for the codec.
template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const job_request* /*tag*/)
{
    visit("id", value.id);
    visit("queue", value.queue);
    visit("spec", value.spec);
    visit("budget_ms", value.budget_ms);
}

/// Answer to a `job_request`.
struct job_reply
{
    /// Of a submission: `accepted`, `refused`, `uncertain` (this attempt is not
    /// stored, an earlier one may be), `unknown`; else `known`, `absent`,
    /// `unknown`; `not_owner` from a host that lacks the shard.
    std::string verdict;
    std::string state;
    std::int64_t retry_after_ms = 0;
};

/// Visits the fields of `job_reply` for the codec.
template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const job_reply* /*tag*/)
{
    visit("verdict", value.verdict);
    visit("state", value.state);
    visit("retry_after_ms", value.retry_after_ms);
}

} // namespace egretspindle

#endif
