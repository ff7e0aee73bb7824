/// \file
/// Client that submits, queries and cancels jobs.

#ifndef EGRETSPINDLE_BENCH_SOAK_CLIENT_HPP
#define EGRETSPINDLE_BENCH_SOAK_CLIENT_HPP

#include "common/line_file.hpp"
#include "history.hpp"
#include "http_channel.hpp"
#include "soak_job.hpp"

#include <atomic>
#include <deque>
#include <memory>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace egretspindle::bench
{

/// Host and the address at which clients reach it through the proxy.
struct front
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

/// Client with one keep-alive connection and its own thread.
class client
{
public:
    client(int number, unsigned seed, std::vector<front> fronts,
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

    /// Returns the requests whose connection was closed instead of a
    /// response; call `join` first.
    [[nodiscard]] const std::vector<cut_call>& cut_calls() const
    {
        return cut_calls_;
    }

private:
    void run();
    void act_under_load();
    void act_to_settle();
    const job_call& call(soak_job& job, const std::string& method);
    void submit(soak_job& job);
    void query(soak_job& job);
    void cancel(soak_job& job);
    void choose_front();
    [[nodiscard]] int choose(int least, int most);
    [[nodiscard]] soak_job* find_unanswered();
    [[nodiscard]] soak_job* find_due_cancel();

    int number_;
    std::mt19937 random_;
    std::vector<front> fronts_;
    standin::line_file log_;
    std::deque<soak_job> jobs_;
    std::vector<cut_call> cut_calls_;
    std::unique_ptr<http_channel> channel_;
    std::string host_; ///< host of the channel
    int last_status_ = 200;
    std::size_t settle_cursor_ = 0;
    std::atomic<client_phase> phase_{client_phase::load};
    std::atomic<bool> is_settled_{false};
    std::thread thread_;
};

} // namespace egretspindle::bench

#endif
