/// \file
/// Mixed load on a cluster.

#ifndef EGRETSPINDLE_TESTS_SUPPORT_LOAD_HPP
#define EGRETSPINDLE_TESTS_SUPPORT_LOAD_HPP

#include "support/caller.hpp"

#include <atomic>
#include <chrono>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace egretspindle::test
{

/// Options of a load.
struct load_options
{
    std::string prefix = "load"; ///< of the ids
    std::vector<std::string> addresses;
    int threads = 6;
    std::chrono::milliseconds pause{10}; ///< between requests of a thread
    int urgent_ms = 20;                  ///< work of an urgent request
    int batch_ms = 400;                  ///< work of a batch request
    double batch_share = 0.3;
    double non_idempotent_share = 0.3;
    double cancel_share = 0; ///< of the batch requests
    unsigned seed = 1;
    /// Send only to hosts that report to be ready, as a load balancer does.
    bool has_balancer = false;
};

/// Submits requests from several threads until it is stopped. A request whose
/// reply was lost is queried at the other hosts.
class load
{
public:
    load(caller& calls, load_options options);
    ~load();
    load(const load&) = delete;
    load& operator=(const load&) = delete;

    /// Stops submitting and joins the threads.
    void stop();

    /// Stops, and waits until each request has a final outcome.
    ///
    /// \returns the latest reply of each request
    std::vector<caller_reply> wait_for_outcomes();

    [[nodiscard]] int submitted() const noexcept
    {
        return submitted_;
    }

private:
    void run(unsigned seed, int thread_number);
    void watch_readiness();
    [[nodiscard]] std::string choose(unsigned number) const;

    caller& calls_;
    load_options options_;
    std::atomic<bool> is_stopping_{false};
    std::atomic<int> submitted_{0};
    mutable std::mutex mutex_;
    std::vector<std::string> ready_;
    std::vector<std::pair<test_request, caller_reply>> requests_;
    std::vector<std::thread> threads_;
};

/// Queries requests from several threads until each has a final outcome or the
/// time limit has passed.
///
/// \returns the latest reply of each request
std::vector<caller_reply>
follow_all(caller& calls, const std::vector<std::string>& addresses,
           const std::vector<test_request>& requests,
           std::chrono::seconds limit = std::chrono::seconds(40));

/// Submits requests from one thread each, without waiting for the replies.
class parallel_submit
{
public:
    parallel_submit(caller& calls, const std::string& address,
                    const std::vector<test_request>& requests);
    ~parallel_submit();
    parallel_submit(const parallel_submit&) = delete;
    parallel_submit& operator=(const parallel_submit&) = delete;

private:
    std::vector<std::thread> threads_;
};

} // namespace egretspindle::test

#endif
