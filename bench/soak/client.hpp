/// \file
/// Client that submits, queries and cancels jobs.

#ifndef EGRETSPINDLE_BENCH_SOAK_CLIENT_HPP
#define EGRETSPINDLE_BENCH_SOAK_CLIENT_HPP

#include "common/line_file.hpp"
#include "history.hpp"
#include "http_channel.hpp"
#include "soak_job.hpp"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <deque>
#include <memory>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace egretspindle::bench
{

/// Host and the address at which clients reach it through the proxy.
struct host_endpoint
{
    std::string host;
    std::string address; ///< `ip:port`
};

/// Current activity of a client.
enum class client_phase
{
    load,   ///< submits, queries and cancels jobs
    settle, ///< submits no new jobs; waits until its jobs have ended
    stop,
};

/// Way in which a client calls hosts.
struct client_style
{
    /// Sends one request after the other, stays with its host, and submits
    /// small jobs.
    bool is_pressing = false;
    std::chrono::milliseconds pressing_pause{0}; ///< between two requests
    /// Time after the load for which long-running jobs are not cancelled.
    std::chrono::seconds quiet_time{0};
};

/// Client with one keep-alive connection and its own thread.
class client
{
public:
    client(int number, unsigned seed, job_chooser choose_job,
           const client_style& style, std::vector<host_endpoint> host_endpoints,
           const std::string& log_file);
    ~client();
    client(const client&) = delete;
    client& operator=(const client&) = delete;

    void set_phase(client_phase phase)
    {
        phase_ = phase;
    }

    /// Returns whether the client knows the final state of every job. Set in
    /// the phase `settle` only.
    [[nodiscard]] bool is_settled() const
    {
        return is_settled_;
    }

    /// Stops the thread.
    void join();

    /// Returns the jobs; call `join` first.
    [[nodiscard]] const std::deque<soak_job>& jobs() const
    {
        return jobs_;
    }

    /// Returns the requests without a response; call `join` first.
    [[nodiscard]] const std::vector<unanswered_call>& unanswered_calls() const
    {
        return unanswered_calls_;
    }

private:
    // Older jobs have mostly ended, so that one of the last is chosen.
    static constexpr int recent_job_count = 30;

    void run();
    void run_load_step();
    void run_pressing_step();
    void run_settle_step();
    void submit_new_job();
    soak_job& choose_recent_job();
    void pause();
    const job_call& call(soak_job& job, const std::string& method);
    const job_call& record_call(soak_job& job, const channel_request& request,
                                const channel_reply& reply,
                                std::chrono::milliseconds timeout,
                                int answered_before);
    void call_pipelined(soak_job& first);
    [[nodiscard]] body_pacing choose_pacing();
    void submit(soak_job& job);
    void apply_submission(soak_job& job, const job_call& item);
    void query(soak_job& job);
    void cancel(soak_job& job);
    void choose_endpoint();
    [[nodiscard]] int choose(int min_value, int max_value);
    [[nodiscard]] int choose_transport(int min_value, int max_value);
    [[nodiscard]] soak_job* find_unanswered_submission();
    [[nodiscard]] soak_job* find_due_cancel();

    int number_;
    std::mt19937 random_;
    /// Of the ways in which requests are sent, so that these do not change the
    /// jobs of a seed.
    std::mt19937 transport_random_;
    job_chooser choose_job_;
    client_style style_;
    std::vector<host_endpoint> host_endpoints_;
    standin::line_file log_;
    std::deque<soak_job> jobs_;
    std::vector<unanswered_call> unanswered_calls_;
    std::unique_ptr<http_channel> channel_;
    std::string host_; ///< host of the channel
    int last_status_ = 200;
    std::size_t settle_cursor_ = 0;
    std::int64_t next_job_ms_ = 0;     ///< of a pressing client
    std::int64_t settle_begun_ms_ = 0; ///< 0: not yet
    std::atomic<client_phase> phase_{client_phase::load};
    std::atomic<bool> is_settled_{false};
    std::thread thread_;
};

} // namespace egretspindle::bench

#endif
