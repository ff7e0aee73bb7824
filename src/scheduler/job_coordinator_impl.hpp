/// \file
/// State and internal functions of a job coordinator.

#ifndef EGRETSPINDLE_SRC_SCHEDULER_JOB_COORDINATOR_IMPL_HPP
#define EGRETSPINDLE_SRC_SCHEDULER_JOB_COORDINATOR_IMPL_HPP

#include "egretspindle/logging/log_rate_limit.hpp"
#include "egretspindle/scheduler/job_coordinator.hpp"
#include "egretspindle/scheduler/job_metrics.hpp"

#include "job_entry.hpp"

#include <condition_variable>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace egretspindle
{

using entry_ptr = std::shared_ptr<job_entry>;

/// Phase of a shard on its owner.
enum class shard_phase
{
    loading, ///< its jobs are being read from the store
    ready,   ///< its jobs are in memory
};

/// Shard that this host owns.
struct shard_state
{
    shard_phase phase = shard_phase::loading;
    time_point taken_at;    ///< when this host took it over
    std::int64_t token = 0; ///< version of the owner row
    std::int64_t fence = 0; ///< version of the fence row written; 0: none
};

/// Jobs whose records are written together.
struct record_batch
{
    std::vector<entry_ptr> jobs;
    /// The first conditions and the writes are those of the jobs, in order.
    row_transaction transaction;
    std::vector<std::uint64_t> changes; ///< latest of each job in its record
};

/// Result of one attempt to write records.
enum class write_outcome
{
    decided,    ///< committed, or a condition failed
    overloaded, ///< refused; may be replaced by another transaction
    failed,     ///< to be repeated unchanged
};

/// Returns whether a job has a long-running step.
[[nodiscard]] bool has_long_running_step(const job& value) noexcept;

/// Returns the Unix time in ms from which the waiting time of a job counts: the
/// later of its acceptance and `job_spec::start_at_ms`.
[[nodiscard]] std::int64_t due_ms(const job& value) noexcept;

/// Implementation of `job_coordinator`, with one source file for each group of
/// functions.
///
/// These are called without `mutex`: `load_shard`, `load_loop`, `fence_shard`,
/// `read_shard`, `fetch_job`, `send_orders`, `find_reported_job`,
/// `apply_report`, `write_loop`, `write_batch`, `try_commit`, `is_obsolete`,
/// `refuse_new_jobs` and `remove_expired_records`. All others are called with
/// it held; `wait_for_turn` releases it while it waits.
struct job_coordinator::impl
{
    impl(table_store& rows, job_coordinator_hooks callbacks,
         const coordinator_limits& bounds)
        : store(rows), hooks(std::move(callbacks)), limits(bounds),
          metrics(*hooks.metrics)
    {
    }

    // job_coordinator_shards.cpp: loading of shards and lookup of jobs
    void load_shard(const std::string& shard);
    void load_loop();
    bool fence_shard(const std::string& shard, std::int64_t token,
                     std::int64_t& version);
    bool read_shard(const std::string& shard, std::vector<table_row>& rows);
    void give_up_shard(const std::string& shard);
    bool remove_shard(const std::string& shard);
    void insert_job(const table_row& row, const std::string& shard);
    entry_ptr find_job(const std::string& id);
    entry_ptr fetch_job(const std::string& id, milliseconds timeout,
                        bool& is_reachable);
    bool wait_until_ready(std::unique_lock<std::mutex>& lock,
                          const std::string& shard, time_point deadline);

    // job_coordinator_runs.cpp: assignment of runs, orders and reports
    void adopt_terms(const entry_ptr& entry, const fleet_config& config);
    void assign_due_steps(const entry_ptr& entry);
    void assign_step(const entry_ptr& entry, const due_step& due);
    [[nodiscard]] bool is_queue_removed(const job_request& request) const;
    [[nodiscard]] job make_new_job(const job_request& request) const;
    [[nodiscard]] std::optional<std::size_t>
    step_without_capacity(const job_request& request) const;
    void log_no_capacity(const job_request& request, std::size_t step,
                         std::int64_t retry_after_ms) const;
    void log_assignment(const step_terms& terms, const due_step& due,
                        const std::vector<std::string>& racks) const;
    void log_no_rack(job_entry& entry, const step_terms& terms,
                     const due_step& due, const std::string& reason);
    void observe_first_start(const job_entry& entry) const;
    void observe_absence(const job_entry& entry, const run_report& report,
                         const task_key& key) const;
    void set_gauges();

    // job_idle_gauges.cpp
    [[nodiscard]] idle_reason find_idle_reason(const job_entry& entry) const;
    void set_idle_gauges(time_point now);

    // job_coordinator_runs.cpp, continued
    [[nodiscard]] step_terms terms_of(const job& value, std::size_t occurrence,
                                      std::size_t step) const;
    void collect_orders(job_entry& entry,
                        std::map<std::string, rack_orders>& orders,
                        time_point now);
    void observe_first_stops(const job_entry& entry,
                             const std::vector<std::string>& racks,
                             std::size_t unsent, time_point now) const;
    rack_orders& orders_for(std::map<std::string, rack_orders>& orders,
                            const std::string& rack, time_point now) const;
    [[nodiscard]] bool may_send_again(const std::string& rack,
                                      time_point sent_at, time_point now) const;
    [[nodiscard]] bool may_send_start(const job_entry& entry,
                                      const sent_run& sent,
                                      const rack_orders& orders) const;
    sent_run* find_sent(const std::string& task, std::int64_t run);
    [[nodiscard]] static std::string find_overdue_start(const job_entry& entry,
                                                        time_point now);
    void add_start(job_entry& entry, const assigned_run& run, sent_run& sent,
                   std::map<std::string, rack_orders>& orders, time_point now);
    void send_orders(const std::map<std::string, rack_orders>& orders);
    std::optional<report_verdict> find_reported_job(const run_report& report,
                                                    const task_key& key,
                                                    entry_ptr& found);
    report_verdict apply_active_report(const run_report& report,
                                       const task_key& key, job_entry& entry,
                                       bool is_current);
    [[nodiscard]] bool knows_rack_owners(const job_entry& entry,
                                         const std::string& task) const;
    void apply_end_report(const run_report& report, const task_key& key,
                          const entry_ptr& entry);
    void log_outdated_end(const run_report& report, const job_task& task) const;
    report_verdict apply_report(const run_report& report, entry_ptr& entry,
                                std::uint64_t& change);
    std::optional<std::int64_t> max_attempts(const job& value) const;

    // job_coordinator_records.cpp: writes and removal of records
    void mark_changed(const entry_ptr& entry);
    void write_loop();
    bool wait_for_turn(std::unique_lock<std::mutex>& lock);
    record_batch take_batch();
    void leave_out_large_job(const entry_ptr& entry, std::size_t bytes);
    void add_job(const entry_ptr& entry, std::string record,
                 record_batch& batch) const;
    void write_batch(const record_batch& batch);
    void release_batch(const record_batch& batch);
    write_outcome try_commit(const record_batch& batch);
    write_outcome apply_failure(const record_batch& batch,
                                const absl::Status& error, fractional_ms took);
    double draw_spread();
    void adapt_pace(const absl::StatusOr<transaction_result>& result,
                    time_point begun_at);
    void add_fence_conditions(const std::vector<entry_ptr>& batch,
                              row_transaction& transaction) const;
    std::vector<std::string>
    give_up_fenced_shards(const row_transaction& transaction,
                          const transaction_result& result, bool& is_fenced);
    void add_owner_conditions(const std::vector<entry_ptr>& batch,
                              row_transaction& transaction) const;
    void apply_conflict(const record_batch& batch,
                        const transaction_result& result);
    void apply_commit(const entry_ptr& entry, std::int64_t version,
                      std::uint64_t change);
    void log_late_write(const job_entry& entry);
    [[nodiscard]] bool may_refuse_for_certain(const std::string& shard,
                                              time_point now) const;
    [[nodiscard]] job_reply refuse(const job_request& request,
                                   const std::string& shard,
                                   refusal_reason reason,
                                   std::int64_t retry_after_ms) const;
    [[nodiscard]] bool is_obsolete(const std::vector<entry_ptr>& batch);
    bool refuse_new_jobs(const std::vector<entry_ptr>& batch);
    [[nodiscard]] bool is_overdue(const job_entry& entry, time_point now) const;
    void refuse_job(const entry_ptr& entry);
    void remove_job(const entry_ptr& entry);
    [[nodiscard]] time_point failing_from() const;
    [[nodiscard]] bool is_store_failing(time_point now) const;

    void remove_expired_records(time_point now);

    table_store& store;
    job_coordinator_hooks hooks;
    coordinator_limits limits;
    job_metrics metrics;
    mutable std::mutex mutex;
    std::condition_variable shards_changed;      ///< one is loaded or lost
    std::condition_variable write_queue_changed; ///< or the coordinator stops
    std::map<std::string, shard_state> shards; ///< owned by this host, by name
    std::map<std::string, entry_ptr> jobs;     ///< of these shards, by id
    std::deque<entry_ptr> write_queue;         ///< jobs to be written
    std::vector<std::thread> threads;
    std::deque<std::string> load_queue;         ///< shards to load
    std::condition_variable load_queue_changed; ///< `load_queue` is not empty
    log_rate_limit late_write_log_limit{milliseconds(200)};
    time_point last_failed_write_at;
    /// Time since which all writes have failed, without those refused for
    /// overload; time_point{}: the store has answered the last write.
    time_point failing_since;
    /// Time since which the store has carried out no write, and has refused
    /// some for overload; time_point{}: none.
    time_point overloaded_since;
    write_pace pace; ///< of transactions with records
    std::minstd_rand random{std::random_device{}()};
    std::size_t steps_without_rack = 0; ///< since the start of the last tick
    bool is_stopping = false;
};

} // namespace egretspindle

#endif
