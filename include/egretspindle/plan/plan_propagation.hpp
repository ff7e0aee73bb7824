/// \file
/// Propagation of accepted plans to this host.

#ifndef EGRETSPINDLE_PLAN_PLAN_PROPAGATION_HPP
#define EGRETSPINDLE_PLAN_PLAN_PROPAGATION_HPP

#include "egretspindle/net/rpc_client.hpp"
#include "egretspindle/plan/drain_table.hpp"
#include "egretspindle/plan/plan_service_options.hpp"
#include "egretspindle/plan/plan_store.hpp"
#include "egretspindle/plan/plan_table.hpp"
#include "egretspindle/protocol/member_digest.hpp"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace egretspindle
{

/// Applies accepted plans to the table. They are read from the store and
/// fetched from peers; either source alone is sufficient.
class plan_propagation
{
public:
    using list_members_function = std::function<std::vector<member_digest>()>;

    plan_propagation(plan_store& store, rpc_client& peers,
                     list_members_function members, plan_table& table,
                     drain_table& drains, const plan_service_options& options);
    ~plan_propagation();
    plan_propagation(const plan_propagation&) = delete;
    plan_propagation& operator=(const plan_propagation&) = delete;

    /// Starts the thread that polls the store and the members.
    void start();

    /// Stops the thread and waits for a call in progress.
    void stop();

    /// Makes the thread check the members without waiting for its next period.
    void wake();

    /// Reads the accepted version from the store and applies its plan if the
    /// version is higher than the one in force.
    ///
    /// \returns the row that was read
    absl::StatusOr<accepted_row> poll_store();

    /// Replaces the drained targets by those in the store.
    void poll_drains();

    /// Fetches and applies the highest version that a member announces, if it
    /// is higher than the one in force.
    void poll_peers();

private:
    void run();
    [[nodiscard]] bool is_offer_needed(const accepted_row& accepted) const;
    [[nodiscard]] bool may_use_peers() const;

    plan_store& store_;
    rpc_client& peers_;
    list_members_function members_;
    plan_table& table_;
    drain_table& drains_;
    plan_service_options options_;
    std::chrono::steady_clock::time_point started_;
    std::atomic<unsigned> next_peer_{0};
    std::mutex mutex_;
    std::condition_variable wake_condition_;
    bool is_stopping_ = false;
    bool is_wake_requested_ = false;
    std::thread thread_;
};

} // namespace egretspindle

#endif
