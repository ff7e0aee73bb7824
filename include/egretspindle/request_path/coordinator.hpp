/// \file
/// Coordinator that runs requests and records their final replies.

#ifndef EGRETSPINDLE_REQUEST_PATH_COORDINATOR_HPP
#define EGRETSPINDLE_REQUEST_PATH_COORDINATOR_HPP

#include "egretspindle/adapters/store_client.hpp"
#include "egretspindle/admission/batch_queue.hpp"
#include "egretspindle/admission/retry_budget.hpp"
#include "egretspindle/request_path/completion_log.hpp"
#include "egretspindle/request_path/coordinator_options.hpp"
#include "egretspindle/request_path/rack_router.hpp"
#include "egretspindle/request_path/request_table.hpp"
#include "egretspindle/request_path/store_health.hpp"
#include "egretspindle/request_path/worker_pool.hpp"

#include <absl/status/statusor.h>
#include <absl/types/span.h>

#include <atomic>
#include <string>
#include <thread>

namespace egretspindle
{

/// Runs requests from their acceptance until their final replies are recorded.
/// Each request is coordinated by one host at a time.
///
/// Thread-safe. Lock order: request table, request entry, batch queue.
class coordinator
{
public:
    coordinator(coordinator_options options, coordinator_hooks hooks,
                store_client& store, rack_router& router);
    ~coordinator();
    coordinator(const coordinator&) = delete;
    coordinator& operator=(const coordinator&) = delete;

    /// Starts the threads that record replies, start batch requests and poll
    /// running attempts.
    void start();

    /// Stops all threads. Requests in memory are not continued.
    void stop();

    /// Accepts a request, or joins the existing request with the same key.
    ///
    /// \param wait  longest time to wait for the final reply
    /// \returns `conflict` when the id was used for a different request
    [[nodiscard]] absl::StatusOr<request_reply> submit(const request_spec& spec,
                                                       milliseconds wait);

    /// Returns the reply of a request; waits up to `query.wait_ms` for the
    /// final one.
    ///
    /// \returns `not_found` for an unknown key, `unavailable` when the store
    ///          cannot be read
    [[nodiscard]] absl::StatusOr<request_reply> wait(const key_query& query);

    /// Cancels a request unless it has completed.
    ///
    /// \returns the final reply, or the current one if the cancellation takes
    ///          longer than `coordinator_options::store_timeout`; errors as for
    ///          `wait`
    [[nodiscard]] absl::StatusOr<request_reply> cancel(const std::string& key);

    /// Handles the report that an attempt has ended.
    ///
    /// \returns OK once the outcome is recorded, so that the target may drop
    ///          the result
    [[nodiscard]] absl::Status task_ended(const task_report& report);

    /// Takes over the open batch requests of a shard whose coordinators are
    /// dead.
    ///
    /// \returns the error of the store when the shard could not be read
    [[nodiscard]] absl::Status take_over_shard(int shard);

    /// Waits until the final replies of all completed requests are recorded.
    ///
    /// \returns true once they are, false when the timeout expired first
    bool flush(milliseconds timeout);

    /// Returns the entries in memory, for the admin interface.
    [[nodiscard]] std::vector<request_entry_ptr> entries() const;

    /// Returns the number of requests without a final reply.
    [[nodiscard]] int open_count() const;

    /// Returns whether a worker is processing a request.
    [[nodiscard]] bool has_busy_requests() const;

    /// Returns the number of batch requests that are waiting to be started.
    [[nodiscard]] int queued_count() const;

    /// Returns whether the store responded to the last call in time.
    [[nodiscard]] bool is_store_healthy() const noexcept;

private:
    /// What to do after a report on an attempt.
    enum class next_step
    {
        refused, ///< not started; another rack may accept it
        ended,   ///< the reply is final
        retry,   ///< the attempt is known to have ended; start another
        running, ///< the attempt may still run
    };

    /// Why an urgent attempt was not placed.
    struct urgent_refusal
    {
        std::string reason = "no rack has room; send it again later";
        std::int64_t retry_after_ms = 1000;
        bool superseded = false;     ///< another coordinator has taken over
        bool owner_changing = false; ///< a rack is being handed over
    };

    /// Stored row of a request and its decoded value.
    struct loaded_record
    {
        store_row row;
        request_record record;
    };

    // coordinator.cpp
    absl::StatusOr<loaded_record> read_record(const std::string& key);
    absl::StatusOr<request_entry_ptr> load(const std::string& key);
    absl::StatusOr<request_reply> wait_for_reply(const request_entry_ptr& entry,
                                                 time_point limit);
    bool has_other_coordinator(const request_record& record) const;
    void cancel_running(const request_entry_ptr& entry);
    void stop_found_attempts(const std::string& key);

    // coordinator_commit.cpp
    void finish(const request_entry_ptr& entry, const request_reply& reply);
    void fail_with_error(const request_entry_ptr& entry,
                         const absl::Status& error);
    void drop_superseded(const request_entry_ptr& entry);
    void finish_not_run(const request_entry_ptr& entry, std::string_view reason,
                        std::int64_t retry_after_ms);
    void resolve_uncertain_write(const request_entry_ptr& entry);
    void record_completion(const request_entry_ptr& entry);
    void write_answer_object(const request_entry_ptr& entry);
    void write_completion(const request_entry_ptr& entry,
                          const std::string& answer_object);
    absl::Status fetch_answer(request_record& record);
    void on_completion_written(const request_entry_ptr& entry,
                               const commit_result& result);
    absl::StatusOr<commit_result> commit_record(const request_entry_ptr& entry,
                                                const request_record& record,
                                                milliseconds timeout,
                                                time_point retry_until = {});

    // coordinator_urgent.cpp
    void run_urgent(const request_entry_ptr& entry);
    bool claim(const request_entry_ptr& entry);
    bool confirm_no_attempts(const request_entry_ptr& entry);
    void place_urgent(const request_entry_ptr& entry);
    bool may_retry(const std::string& team);
    bool place_attempt(const request_entry_ptr& entry, int attempt,
                       urgent_refusal& refusal);
    next_step place_on_rack(const request_entry_ptr& entry,
                            const rack_candidate& candidate, int attempt,
                            urgent_refusal& refusal);
    void finish_unplaced(const request_entry_ptr& entry,
                         const urgent_refusal& refusal);
    int renumber_attempts(const request_entry_ptr& entry);
    bool find_and_follow_attempts(const request_entry_ptr& entry,
                                  int fence_attempt);
    bool follow_found_attempts(const request_entry_ptr& entry,
                               absl::Span<const task_report> reports);

    // coordinator_log.cpp
    static void log_route(const place_request& request,
                          const absl::StatusOr<place_reply>& reply);

    // coordinator_recorded.cpp
    void run_recorded(const request_entry_ptr& entry);
    bool start_recorded(const request_entry_ptr& entry);
    absl::StatusOr<place_reply> reserve(const request_entry_ptr& entry,
                                        int attempt);
    absl::StatusOr<place_reply> try_reserve(const request_entry_ptr& entry,
                                            int attempt,
                                            bool& is_owner_changing);
    bool record_start(const request_entry_ptr& entry, int attempt,
                      const place_reply& place);
    void handle_failed_start(const request_entry_ptr& entry,
                             std::string_view reason,
                             std::int64_t retry_after_ms);

    // coordinator_follow.cpp
    next_step follow_attempt(const request_entry_ptr& entry, time_point limit);
    next_step apply_report(const request_entry_ptr& entry,
                           const task_report& report);
    next_step apply_end(const request_entry_ptr& entry,
                        const task_report& report);
    void schedule_poll(const request_entry_ptr& entry);

    // coordinator_recovery.cpp
    void resume_from_row(const request_entry_ptr& entry, const store_row& row);
    void take_over(const request_entry_ptr& entry, request_record record);
    void restart_without_record(const request_entry_ptr& entry);
    void forward_until_end(const request_entry_ptr& entry,
                           const std::string& host);
    void retry_take_over(const request_entry_ptr& entry);
    void resume_request(const request_entry_ptr& entry);
    void start_next_attempt(const request_entry_ptr& entry);
    bool requeue(const request_entry_ptr& entry);
    void begin(const request_entry_ptr& entry);
    void poll_loop();

    // coordinator_batch.cpp
    void accept_batch(const request_entry_ptr& entry);
    void enqueue(const request_entry_ptr& entry, milliseconds delay);
    void dispatch_loop();
    void run_batch(const request_entry_ptr& entry);
    batch_item make_batch_item(const request_entry& entry,
                               time_point not_before);
    void update_running_use();

    coordinator_options options_;
    coordinator_hooks hooks_;
    store_client& store_;
    rack_router& router_;
    request_table table_;
    completion_log completion_log_;
    store_health store_health_;
    worker_pool workers_;

    mutable std::mutex queue_mutex_;
    std::condition_variable queue_changed_;
    batch_queue queue_;
    retry_budget retry_budget_;
    team_use_map running_use_;
    int batch_starts_ = 0;
    bool is_stopping_ = false;
    std::thread dispatch_thread_;
    std::thread poll_thread_;
};

} // namespace egretspindle

#endif
