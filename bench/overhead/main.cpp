// Measures the latency of an urgent request through an entry host, relative to
// a direct call to a target.

#include "egretspindle/codec/json.hpp"
#include "egretspindle/core/clock.hpp"

#include "direct_target.hpp"
#include "options.hpp"
#include "support/make_cluster.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <mutex>
#include <thread>
#include <vector>

namespace
{

using namespace egretspindle;
using namespace egretspindle::bench;
using namespace egretspindle::test;

// Design goal: at most 1.5 times the latency of the direct call.
constexpr double max_ratio = 1.5;
constexpr int warm_up_seconds = 3;
constexpr int direct_target_count = 4;
// Each sender has one request in progress, so at 400 requests/s latencies of up
// to 160 ms do not delay the next request.
constexpr int sender_count = 64;

constexpr const char* plan = R"([team.ops]
[team.rota]
urgent_floor = 0.3
max_queue = 2000
[hosts]
team = "ops"
[break]
team = "ops"
windows = ["00:00-23:59"]
)";

/// Latencies of one variant, in milliseconds.
class latency_sample
{
public:
    void add(double value)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        values_.push_back(value);
    }

    [[nodiscard]] double quantile(double p)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        std::sort(values_.begin(), values_.end());
        const auto rank = static_cast<std::size_t>(
            p * static_cast<double>(values_.size() - 1));
        return values_.empty() ? 0 : values_[rank];
    }

private:
    std::mutex mutex_;
    std::vector<double> values_;
};

struct run_result
{
    double median_ratio = 0;
    double p99_ratio = 0;
    int failures = 0;
};

/// Sends both variants alternately at fixed times. Latencies are measured from
/// these times, so that the delay of a busy sender is included.
class load_generator
{
public:
    load_generator(const overhead_options& options,
                   const std::vector<std::string>& hosts)
        : options_(options), targets_(direct_target_count)
    {
        for (const std::string& address : hosts)
        {
            clients_.push_back(
                std::make_unique<http_client>(*parse_endpoint(address)));
        }
        for (std::unique_ptr<direct_target>& target : targets_)
        {
            target = std::make_unique<direct_target>();
        }
    }

    run_result run(int run_number)
    {
        run_number_ = run_number;
        start_ = steady_clock::now() + milliseconds(100);
        std::vector<std::thread> threads;
        threads.reserve(sender_count);
        for (int n = 0; n < sender_count; ++n)
        {
            threads.emplace_back([this, n] { send_from(n); });
        }
        for (std::thread& thread : threads)
        {
            thread.join();
        }
        return report();
    }

private:
    void send_from(int sender)
    {
        const int total =
            2 * options_.rate * (options_.seconds + warm_up_seconds);
        const int warm_up = 2 * options_.rate * warm_up_seconds;
        const std::chrono::nanoseconds interval(500'000'000 / options_.rate);
        for (int n = sender; n < total; n += sender_count)
        {
            const time_point due = start_ + n * interval;
            std::this_thread::sleep_until(due);
            const bool is_direct = n % 2 == 0;
            const bool is_ok =
                is_direct ? targets_[static_cast<std::size_t>(n / 2) %
                                     direct_target_count]
                                ->run(run_number_ * total + n, options_.work_ms)
                          : send_through_host(run_number_ * total + n);
            const double elapsed = std::chrono::duration<double, std::milli>(
                                       steady_clock::now() - due)
                                       .count();
            if (!is_ok)
            {
                ++failures_;
            }
            else if (n >= warm_up)
            {
                (is_direct ? direct_ : through_host_).add(elapsed);
            }
        }
    }

    bool send_through_host(int number)
    {
        const test_request request =
            urgent_request(fmt::format("overhead-{}", number), options_.work_ms,
                           options_.is_idempotent);
        http_call call;
        call.method = "POST";
        call.path = "/v1/requests";
        call.body = to_json(request);
        call.timeout = std::chrono::seconds(10);
        const absl::StatusOr<http_response> response =
            clients_[static_cast<std::size_t>(number / 2) % clients_.size()]
                ->send(call);
        const bool is_done =
            response.ok() &&
            response->body.find(R"("outcome":"done")") != std::string::npos;
        if (!is_done && failures_ < 3)
        {
            fmt::print(stderr, "request {}: {}\n", request.id,
                       response.ok() ? response->body
                                     : response.status().ToString());
        }
        return is_done;
    }

    run_result report()
    {
        run_result result;
        result.failures = failures_;
        result.median_ratio =
            through_host_.quantile(0.5) / direct_.quantile(0.5);
        result.p99_ratio =
            through_host_.quantile(0.99) / direct_.quantile(0.99);
        fmt::print("run {}: median {:.2f} ms direct {:.2f} ms ratio {:.2f}; "
                   "p99 {:.2f} ms direct {:.2f} ms ratio {:.2f}; "
                   "failures {}\n",
                   run_number_, through_host_.quantile(0.5),
                   direct_.quantile(0.5), result.median_ratio,
                   through_host_.quantile(0.99), direct_.quantile(0.99),
                   result.p99_ratio, result.failures);
        std::fflush(stdout);
        return result;
    }

    overhead_options options_;
    std::vector<std::unique_ptr<direct_target>> targets_;
    std::vector<std::unique_ptr<http_client>> clients_;
    time_point start_;
    int run_number_ = 0;
    latency_sample direct_;
    latency_sample through_host_;
    std::atomic<int> failures_{0};
};

/// Prints minimum, median and maximum, and returns the median.
double summarize(const char* name, std::vector<double> values)
{
    std::sort(values.begin(), values.end());
    const double median = values[values.size() / 2];
    fmt::print("{} ratio: min {:.2f} median {:.2f} max {:.2f}, goal {:.2f}: "
               "{}\n",
               name, values.front(), median, values.back(), max_ratio,
               median <= max_ratio ? "met" : "missed");
    return median;
}

} // namespace

int main(int argc, char** argv)
{
    overhead_options options;
    if (!parse_options(argc, argv, options))
    {
        return 2;
    }
    std::vector<double> medians;
    std::vector<double> p99s;
    int failures = 0;
    for (int n = 1; n <= options.runs; ++n)
    {
        const std::unique_ptr<cluster> test_cluster =
            make_cluster().with_hosts(options.hosts).with_plan(plan).build();
        load_generator generator(options, test_cluster->addresses());
        const run_result result = generator.run(n);
        medians.push_back(result.median_ratio);
        p99s.push_back(result.p99_ratio);
        failures += result.failures;
    }
    const double median = summarize("median", medians);
    const double p99 = summarize("p99", p99s);
    fmt::print("failed requests: {}\n", failures);
    return median <= max_ratio && p99 <= max_ratio && failures == 0 ? 0 : 1;
}
