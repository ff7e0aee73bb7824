/// \file
/// Messages between the owners of job shards and the owners of racks.

#ifndef EGRETSPINDLE_SCHEDULER_OWNER_MESSAGES_HPP
#define EGRETSPINDLE_SCHEDULER_OWNER_MESSAGES_HPP

#include "egretspindle/core/clock.hpp"
#include "egretspindle/jobs/job_spec.hpp"
#include "egretspindle/jobs/queue_terms.hpp"
#include "egretspindle/rack/image_name_codec.hpp"
#include "egretspindle/rack/queued_start.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace egretspindle
{

/// One run of a task, identified by its index in the step.
struct step_run
{
    std::int64_t index = 0;
    std::int64_t run = 0;   ///< number of the run, from 1
    std::string checkpoint; ///< state to resume from; empty: none
    /// The run may have been sent before, by this host or a former owner of
    /// the shard. The receiver checks the job's record before it starts such
    /// a run that it does not know.
    bool is_repeated = false;
    std::int64_t waited_ms = 0; ///< see `queued_start::waiting_since`
};

/// Visits the fields of `step_run` for the codec.
template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const step_run* /*tag*/)
{
    visit("index", value.index);
    visit("run", value.run);
    visit("checkpoint", value.checkpoint);
    visit("repeated", value.is_repeated);
    visit("waited_ms", value.waited_ms);
}

/// Runs of one step to be started.
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

/// Identifies a run of a task.
struct run_ref
{
    std::string task;     ///< formatted `task_key`
    std::int64_t run = 0; ///< number of the run, from 1
};

/// Visits the fields of `run_ref` for the codec.
template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const run_ref* /*tag*/)
{
    visit("task", value.task);
    visit("run", value.run);
}

/// Runs to start and stop in one rack. A message that arrives again has no
/// further effect.
struct rack_orders
{
    std::string rack;
    /// Fencing token of the rack owner that the sender knows. An owner with
    /// another token refuses the message.
    std::int64_t token = 0;
    std::vector<start_batch> starts;
    std::vector<run_ref> stops;
    /// Confirmed starts that still wait: one of each job that has nothing at
    /// work, or else of one whose long-running tasks are not all at work.
    std::vector<run_ref> overdue;
    /// When the sender collected the orders; several times if messages have
    /// been merged. Not transferred.
    std::vector<time_point> collected_at;
};

/// Visits the fields of `rack_orders` for the codec.
template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const rack_orders* /*tag*/)
{
    visit("rack", value.rack);
    visit("token", value.token);
    visit("starts", value.starts);
    visit("stops", value.stops);
    visit("overdue", value.overdue);
}

/// Reply to `rack_orders`.
struct rack_orders_reply
{
    /// The receiver owns the rack with the token of the orders and will report
    /// the end of every run in them. If false, it has carried out none of them.
    bool is_owner = false;
    std::int64_t token = 0; ///< of the receiver's ownership; 0: not the owner
    /// Of the overdue starts, those that the receiver neither has nor has
    /// reported as ended. They have to be sent again.
    std::vector<run_ref> missing;
};

/// Visits the fields of `rack_orders_reply` for the codec.
template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value,
                  const rack_orders_reply* /*tag*/)
{
    visit("owner", value.is_owner);
    visit("token", value.token);
    visit("missing", value.missing);
}

/// Event of a run, reported to the owner of its job.
struct run_report
{
    /// `started`, `ended` or `seen`: a target runs it, but the owner of the
    /// rack does not know it.
    std::string what;
    std::string task;       ///< formatted `task_key`
    std::int64_t run = 0;   ///< number of the run, from 1
    std::string how;        ///< of `ended`: name of a `run_end`
    std::string checkpoint; ///< saved by the run; empty: none
    std::string target;     ///< id; empty: none is known
    std::string rack;
    std::int64_t token = 0; ///< of the rack ownership that produced the report
    /// Number of the end in the target's list; 0: the rack owner inferred it.
    std::int64_t number = 0;
    /// Of an inferred end: time since the last answer of the target, in ms.
    std::int64_t silent_ms = 0;
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
    visit("silent_ms", value.silent_ms);
}

/// Reports that are sent in one message.
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

/// Reply of the owner of a job to one report.
struct report_verdict
{
    /// `recorded`: durable, or not needed; `retry`: not recorded yet; `stop`:
    /// the run has to be stopped; `wanted`: the run may continue, and `terms`
    /// describes it.
    std::string verdict;
    step_terms terms; ///< of a `wanted` run; otherwise empty
};

/// Visits the fields of `report_verdict` for the codec.
template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const report_verdict* /*tag*/)
{
    visit("verdict", value.verdict);
    visit("terms", value.terms);
}

/// Reply to a `report_batch`, in the order of its reports.
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

/// Request of a caller, forwarded to the owner of the job's shard.
struct job_request
{
    std::string id;
    std::string queue;
    /// Terms of the queue that a submission was received under. The owner of
    /// the shard may have another version of the configuration. `service` is
    /// empty in other requests.
    queue_terms terms;
    job_spec spec;
    /// Time limit for the reply, from the receipt of the request.
    std::int64_t budget_ms = 0;
};

/// Visits the fields of `job_request` for the codec.
template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const job_request* /*tag*/)
{
    visit("id", value.id);
    visit("queue", value.queue);
    visit("terms", value.terms);
    visit("spec", value.spec);
    visit("budget_ms", value.budget_ms);
}

/// Reply to a `job_request`.
struct job_reply
{
    /// For a submission: `accepted`, `refused`, `uncertain` (this attempt is
    /// not stored, but an earlier one may be) or `unknown`. For a query or
    /// cancellation: `known`, `absent` or `unknown`. `not_owner` when the host
    /// does not own the shard.
    std::string verdict;
    std::string state; ///< see `state_name`; empty: not known
    /// Advised time before the caller tries again; 0: no advice.
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
