/// \file
/// Coordinator: one host in charge of each request.

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

/// Takes requests from acceptance to their recorded end. Usable from several
/// threads. Lock order: table, entry, queue.
class coordinator
{
public:
    coordinator(coordinator_options options, coordinator_hooks hooks,
                store_client& store, rack_router& router);
    ~coordinator();
    coordinator(const coordinator&) = delete;
    coordinator& operator=(const coordinator&) = delete;

    /// Starts the threads for batch starts and polls.
    void start();

    /// Stops the threads; requests in memory are dropped.
    void stop();

    /// Accepts a request, or attaches to the one with the same key.
    ///
    /// \param wait  how long to wait for the end
    /// \returns `conflict` for the same id with a different request
    [[nodiscard]] absl::StatusOr<request_reply> submit(const request_spec& spec,
                                                       milliseconds wait);

    /// Returns the reply of a request, after at most `query.wait_ms`.
    ///
    /// \returns `not_found`, or `unavailable` when the store cannot tell
    [[nodiscard]] absl::StatusOr<request_reply> wait(const key_query& query);

    /// Cancels a request unless it has ended.
    [[nodiscard]] absl::StatusOr<request_reply> cancel(const std::string& key);

    /// Takes note of the end of an attempt.
    ///
    /// \returns OK once the end is recorded, so that the target may drop it
    [[nodiscard]] absl::Status task_ended(const task_report& report);

    /// Takes charge of the open requests of a shard whose coordinator is
    /// gone.
    [[nodiscard]] absl::Status take_over_shard(int shard);

    /// Waits until all ended requests are recorded.
    bool flush(milliseconds timeout);

    /// Returns the entries in memory, for operators.
    [[nodiscard]] std::vector<request_entry_ptr> entries() const;

    /// Returns the number of requests without a final reply.
    [[nodiscard]] int open_count() const;

    /// Returns whether a worker is in charge of some request.
    [[nodiscard]] bool has_busy_requests() const;

    /// Returns the number of batch requests that wait for a start.
    [[nodiscard]] int queued_count() const;

    /// Returns whether the store answered the last call in time.
    [[nodiscard]] bool is_store_healthy() const noexcept;

private:
    /// What to do after a report on an attempt.
    enum class next_step
    {
        refused, ///< not started; another rack may take it
        ended,   ///< the reply is final
        retry,   ///< the attempt has certainly ended; start another
        running, ///< the attempt may still run
    };

    /// Why an urgent attempt was not placed.
    struct urgent_refusal
    {
        std::string reason = "no rack has room; send it again later";
        std::int64_t retry_after_ms = 1000;
        bool superseded = false;     ///< another coordinator is in charge
        bool owner_changing = false; ///< a rack is between two owners
    };

    /// Row of a request and its decoded value.
    struct loaded_record
    {
        store_row row;
        request_record record;
    };

    // coordinator.cpp
    absl::StatusOr<loaded_record> read_record(const std::string& key);
    absl::StatusOr<request_entry_ptr> load(const std::string& key);
    absl::StatusOr<request_reply> reply_by(const request_entry_ptr& entry,
                                           time_point limit);
    bool is_elsewhere(const request_record& record) const;
    void cancel_running(const request_entry_ptr& entry);
    void stop_found(const std::string& key);

    // coordinator_commit.cpp
    void finish(const request_entry_ptr& entry, const request_reply& reply);
    void refuse(const request_entry_ptr& entry, const absl::Status& error);
    void give_away(const request_entry_ptr& entry);
    void withdraw(const request_entry_ptr& entry, std::string_view reason,
                  std::int64_t retry_after_ms);
    void find_unclear_record(const request_entry_ptr& entry);
    void record_end(const request_entry_ptr& entry);
    void store_answer(const request_entry_ptr& entry);
    void write_end(const request_entry_ptr& entry,
                   const std::string& answer_object);
    absl::Status fetch_answer(request_record& record);
    void end_recorded(const request_entry_ptr& entry,
                      const commit_result& result);
    absl::StatusOr<commit_result> commit_record(const request_entry_ptr& entry,
                                                const request_record& record,
                                                milliseconds timeout,
                                                time_point retry_until = {});

    // coordinator_urgent.cpp
    void run_urgent(const request_entry_ptr& entry);
    bool claim(const request_entry_ptr& entry);
    bool confirm_absent(const request_entry_ptr& entry);
    void place_urgent(const request_entry_ptr& entry);
    bool may_retry(const std::string& team);
    bool place_attempt(const request_entry_ptr& entry, int attempt,
                       urgent_refusal& refusal);
    next_step place_on(const request_entry_ptr& entry,
                       const rack_candidate& candidate, int attempt,
                       urgent_refusal& refusal);
    void end_urgent(const request_entry_ptr& entry,
                    const urgent_refusal& refusal);
    int renumber(const request_entry_ptr& entry);
    bool find_attempts(const request_entry_ptr& entry, int fence_attempt);
    bool apply_found(const request_entry_ptr& entry,
                     absl::Span<const task_report> reports);

    // coordinator_log.cpp
    static void log_route(const place_request& request,
                          const absl::StatusOr<place_reply>& reply);

    // coordinator_recorded.cpp
    void run_recorded(const request_entry_ptr& entry);
    bool start_recorded(const request_entry_ptr& entry);
    absl::StatusOr<place_reply> reserve(const request_entry_ptr& entry,
                                        int attempt);
    absl::StatusOr<place_reply> reserve_now(const request_entry_ptr& entry,
                                            int attempt,
                                            bool& is_between_owners);
    bool record_start(const request_entry_ptr& entry, int attempt,
                      const place_reply& place);
    void give_up_start(const request_entry_ptr& entry, std::string_view reason,
                       std::int64_t retry_after_ms);

    // coordinator_follow.cpp
    next_step follow(const request_entry_ptr& entry, time_point limit);
    next_step apply_report(const request_entry_ptr& entry,
                           const task_report& report);
    next_step apply_end(const request_entry_ptr& entry,
                        const task_report& report);
    void leave_running(const request_entry_ptr& entry);

    // coordinator_recovery.cpp
    void adopt(const request_entry_ptr& entry, const store_row& row);
    void take_over(const request_entry_ptr& entry, request_record record);
    void begin_again(const request_entry_ptr& entry);
    void forward_until_end(const request_entry_ptr& entry,
                           const std::string& host);
    void take_over_again(const request_entry_ptr& entry);
    void resolve(const request_entry_ptr& entry);
    void start_again(const request_entry_ptr& entry);
    bool requeue(const request_entry_ptr& entry);
    void begin(const request_entry_ptr& entry);
    void poll_running();

    // coordinator_batch.cpp
    void accept_batch(const request_entry_ptr& entry);
    void enqueue(const request_entry_ptr& entry, milliseconds delay);
    void dispatch();
    void run_batch(const request_entry_ptr& entry);
    batch_item make_item(const request_entry& entry, time_point not_before);
    void count_use();

    coordinator_options options_;
    coordinator_hooks hooks_;
    store_client& store_;
    rack_router& router_;
    request_table table_;
    completion_log log_;
    store_health store_health_;
    worker_pool workers_;

    mutable std::mutex queue_mutex_;
    std::condition_variable queue_changed_;
    batch_queue queue_;
    retry_budget retries_;
    team_use_map started_use_;
    int batch_starts_ = 0;
    bool is_stopping_ = false;
    std::thread dispatch_thread_;
    std::thread poll_thread_;
};

} // namespace egretspindle

#endif
