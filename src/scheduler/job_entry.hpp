/// \file
/// Job as held in memory by its coordinator.

#ifndef EGRETSPINDLE_SRC_SCHEDULER_JOB_ENTRY_HPP
#define EGRETSPINDLE_SRC_SCHEDULER_JOB_ENTRY_HPP

#include "egretspindle/core/clock.hpp"
#include "egretspindle/jobs/job_machine.hpp"

#include <condition_variable>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace egretspindle
{

/// State of the orders to the owner of a rack for one run.
struct sent_run
{
    std::int64_t run = 0;
    std::uint64_t change = 0; ///< `job_entry::last_change` at its assignment
    /// Token of the rack owner that has confirmed the start; 0: none.
    std::int64_t confirmed_token = 0;
    /// Time at which the start was last sent; time_point{}: not sent, or not
    /// delivered.
    time_point sent_at;
    /// Number of sent starts that may have been delivered.
    int possible_deliveries = 0;
    /// The owner of the rack has reported the run as started.
    bool is_at_work = false;
    /// Time at which the stop was last sent; time_point{}: not sent, or not
    /// delivered.
    time_point stop_sent_at;
    /// The run was read from the store. A former owner of the shard may have
    /// sent its start.
    bool is_from_store = false;
};

/// Ownership of a rack that changes which are not yet durable depend on: the
/// owner inferred the end of a run, for example from an expired lease.
struct required_ownership
{
    std::int64_t token = 0;   ///< of the ownership
    std::uint64_t change = 0; ///< latest change that depends on it
};

/// Job and the state of its record in the store.
struct job_entry
{
    job value;
    std::condition_variable changed; ///< durable change, or no longer in memory
    std::string shard;
    std::string encoded_spec;
    std::int64_t version = 0;         ///< of the row; 0: not written yet
    std::uint64_t last_change = 1;    ///< number of the latest change
    std::uint64_t durable_change = 0; ///< number of the latest durable change
    /// Number of the change that closed the job, see `job::outcome`; 0: none.
    std::uint64_t closing_change = 0;
    /// When the job was closed, or was read from the store as a closed one.
    time_point closed_at;
    bool has_sent_stops = false; ///< at least one, since it was closed
    bool is_writing = false;     ///< in the batch of a writer
    time_point unwritten_since; ///< oldest change that is not durable; {}: none
    time_point write_begun_at;  ///< when a writer last took the job
    /// A write that got no answer may still take effect.
    bool has_unanswered_write = false;
    /// Latest record whose write the store has refused for overload, and the
    /// number of its latest change; empty: none. Unless the write was sent only
    /// once, it may have taken effect nevertheless; see
    /// `row_transaction::is_sent_once`.
    std::string refused_record;
    std::uint64_t refused_change = 0;
    bool is_refused = false; ///< not stored and never will be
    bool is_in_write_queue = false;
    bool is_too_large = false; ///< its latest record does not fit into a row
    /// The job was submitted to this host, not read from the store.
    bool is_accepted_here = false;
    time_point created_at; ///< of this entry, by a submission or a read
    /// Time of the last log line about a step without a rack; time_point{}:
    /// none.
    time_point no_rack_logged_at;
    /// State as shown to callers, from durable changes and reported starts;
    /// empty: no record yet.
    std::string visible_state;
    std::map<std::string, sent_run> sent; ///< of current runs, by task
    /// Since when tasks are not at work, by task: their last run has ended, or
    /// its target has been silent, they became due, or this host has read the
    /// job. No entry while at work.
    std::map<std::string, time_point> waiting_since;
    /// Since when no task is at work while one is due, as seen by ticks;
    /// time_point{}: not so.
    time_point idle_since;
    /// Since when a due long-running task has had no rack; time_point{}: none.
    time_point unassigned_since;
    /// When the owner of a rack was last asked about an overdue start.
    time_point overdue_sent_at;
    /// Last time that a rack handed back a task of a step, by step and rack.
    std::map<std::pair<std::string, std::string>, time_point> handed_back_at;
    /// Ownerships that changes depend on which are not yet durable, by rack.
    std::map<std::string, required_ownership> required_ownerships;
};

/// Returns whether the end of a job is durable. Changes that follow it, such as
/// ends of its runs, need not be.
[[nodiscard]] inline bool is_end_durable(const job_entry& entry) noexcept
{
    return entry.value.outcome != job_outcome::open &&
           entry.durable_change >= entry.closing_change;
}

} // namespace egretspindle

#endif
