#include "support/load.hpp"

#include "support/json_http.hpp"

#include <algorithm>
#include <random>

namespace egretspindle::test
{

namespace
{

// Period at which the platform's load balancer checks its hosts.
constexpr std::chrono::milliseconds balancer_period{250};

bool is_ready(const std::string& address)
{
    const absl::StatusOr<http_response> response = send_http(
        address, "GET", "/readyz", "", std::chrono::milliseconds(500));
    return response.ok() && response->status == 200;
}

} // namespace

load::load(caller& calls, load_options options)
    : calls_(calls), options_(std::move(options)), ready_(options_.addresses)
{
    for (int n = 0; n < options_.threads; ++n)
    {
        threads_.emplace_back([this, n] { run(options_.seed * 1000 + n, n); });
    }
    if (options_.has_balancer)
    {
        threads_.emplace_back([this] { watch_readiness(); });
    }
}

load::~load()
{
    stop();
}

void load::stop()
{
    is_stopping_ = true;
    for (std::thread& thread : threads_)
    {
        thread.join();
    }
    threads_.clear();
}

std::vector<caller_reply> load::wait_for_outcomes()
{
    stop();
    std::vector<caller_reply> result;
    std::vector<test_request> unfinished;
    for (const auto& [request, reply] : requests_)
    {
        // An unconfirmed record is reported as unknown; a later query may
        // return the outcome.
        const bool is_settled =
            reply.outcome != "unknown" &&
            (reply.is_final() || reply.outcome == "not_run");
        if (is_settled)
        {
            result.push_back(reply);
        }
        else
        {
            unfinished.push_back(request);
        }
    }
    for (const caller_reply& reply : follow_all(calls_, ready_, unfinished))
    {
        result.push_back(reply);
    }
    return result;
}

void load::run(unsigned seed, int thread_number)
{
    std::mt19937 random(seed);
    std::uniform_real_distribution<double> share(0, 1);
    for (int n = 0; !is_stopping_; ++n)
    {
        const std::string id = options_.prefix + "-" +
                               std::to_string(thread_number) + "-" +
                               std::to_string(n);
        const bool is_idempotent =
            share(random) > options_.non_idempotent_share;
        const test_request request =
            share(random) < options_.batch_share
                ? batch_request(id, options_.batch_ms, is_idempotent)
                : urgent_request(id, options_.urgent_ms, is_idempotent);
        caller_reply reply = calls_.submit(choose(random()), request);
        ++submitted_;
        if (reply.status == 0)
        {
            std::vector<std::string> others = options_.addresses;
            std::shuffle(others.begin(), others.end(), random);
            reply = calls_.follow(others, request, std::chrono::seconds(10));
        }
        if (request.urgency == "batch" && share(random) < options_.cancel_share)
        {
            std::this_thread::sleep_for(
                std::chrono::milliseconds(random() % 300));
            reply = calls_.cancel(choose(random()), request);
        }
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            requests_.emplace_back(request, reply);
        }
        std::this_thread::sleep_for(options_.pause);
    }
}

void load::watch_readiness()
{
    while (!is_stopping_)
    {
        std::vector<std::string> ready;
        for (const std::string& address : options_.addresses)
        {
            if (is_ready(address))
            {
                ready.push_back(address);
            }
        }
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            ready_ = ready;
        }
        std::this_thread::sleep_for(balancer_period);
    }
}

std::string load::choose(unsigned number) const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return ready_.empty() ? options_.addresses.front()
                          : ready_[number % ready_.size()];
}

std::vector<caller_reply> follow_all(caller& calls,
                                     const std::vector<std::string>& addresses,
                                     const std::vector<test_request>& requests,
                                     std::chrono::seconds limit)
{
    constexpr std::size_t thread_count = 16;
    std::vector<caller_reply> result(requests.size());
    std::atomic<std::size_t> next{0};
    std::vector<std::thread> threads;
    for (std::size_t t = 0; t < thread_count; ++t)
    {
        threads.emplace_back(
            [&]
            {
                for (std::size_t n = next++; n < requests.size(); n = next++)
                {
                    result[n] = calls.follow(addresses, requests[n], limit);
                }
            });
    }
    for (std::thread& thread : threads)
    {
        thread.join();
    }
    return result;
}

parallel_submit::parallel_submit(caller& calls, const std::string& address,
                                 const std::vector<test_request>& requests)
{
    for (const test_request& request : requests)
    {
        threads_.emplace_back([&calls, address, request]
                              { (void)calls.submit(address, request); });
    }
}

parallel_submit::~parallel_submit()
{
    for (std::thread& thread : threads_)
    {
        thread.join();
    }
}

} // namespace egretspindle::test
