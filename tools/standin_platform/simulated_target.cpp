#include "simulated_target.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <sstream>

namespace egretspindle::standin
{

namespace
{

// Largest number of ended runs in one answer.
constexpr std::size_t max_ends_per_page = 500;
// The clock of a target may run slow by this much, in thousandths.
constexpr int max_clock_slowness = 20;
constexpr std::int64_t drain_ms = 6'000;
// Longest wait of a poll.
constexpr std::int64_t max_wait_ms = 2'000;

/// Simulated work of a task.
struct task_work
{
    std::int64_t cpu_milli = 1'000;
    std::int64_t duration_ms = 100;
    std::int64_t failures = 0; ///< of its first runs
};

// Finds the work of a task in the spec of its job: `CPU:MS` or
// `CPU:MS:FAILURES` for each step, separated by blanks. The name of a task ends
// in `.STEP.INDEX`.
task_work find_work(const std::string& text, const std::string& task)
{
    int occurrence = 0;
    int step = 0;
    const std::size_t dot = task.find('.');
    if (dot == std::string::npos ||
        std::sscanf(task.c_str() + dot, ".%d.%d.", &occurrence, &step) != 2)
    {
        return {};
    }
    std::string text_of_step;
    std::istringstream in(text);
    for (; step >= 0; --step)
    {
        in >> text_of_step;
    }
    task_work work;
    long cpu_milli = 0;
    long duration_ms = 0;
    long failures = 0;
    const int count = std::sscanf(text_of_step.c_str(), "%ld:%ld:%ld",
                                  &cpu_milli, &duration_ms, &failures);
    if (in && count >= 2)
    {
        work = {cpu_milli, duration_ms, failures};
    }
    return work;
}

std::int64_t unix_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

} // namespace

simulated_target::simulated_target(simulated_target_options options,
                                   journal& events)
    : options_(std::move(options)), journal_(events), random_(options_.seed)
{
}

void simulated_target::write_event(std::int64_t at, const std::string& event,
                                   const std::string& task, std::int64_t run,
                                   const std::string& outcome,
                                   std::int64_t token,
                                   const std::string& detail)
{
    const std::string id = fmt::format("{}-{}", options_.name, id_number_);
    journal_.write({at, event, options_.name, id, booted_unix_ms_, task, run,
                    outcome, token, detail});
}

std::int64_t simulated_target::clock_at(std::int64_t now) const
{
    return static_cast<std::int64_t>(
        static_cast<double>(now - booted_steady_ms_) * clock_rate_);
}

std::int64_t simulated_target::steady_at(std::int64_t clock) const
{
    return booted_steady_ms_ +
           static_cast<std::int64_t>(static_cast<double>(clock) / clock_rate_);
}

void simulated_target::boot(bool is_id_kept)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    if (is_running_)
    {
        return;
    }
    is_running_ = true;
    is_draining_ = false;
    ++boot_number_;
    id_number_ += is_id_kept && id_number_ > 0 ? 0 : 1;
    // Each boot has a different start time.
    booted_unix_ms_ = std::max(booted_unix_ms_ + 1, unix_ms());
    booted_steady_ms_ = steady_ms();
    std::uniform_int_distribution<int> slowness(0, max_clock_slowness);
    clock_rate_ = 1.0 - slowness(random_) / 1'000.0;
    token_ = 0;
    lease_until_ = 0;
    has_lease_ = false;
    sequence_ = 0;
    last_end_ = 0;
    runs_.clear();
    highest_runs_.clear();
    ends_.clear();
    write_event(booted_steady_ms_, "life");
    changed_.notify_all();
}

bool simulated_target::wait_for_boot(std::chrono::milliseconds limit)
{
    std::unique_lock<std::mutex> lock(mutex_);
    return changed_.wait_for(lock, limit, [this] { return is_running_; });
}

void simulated_target::crash()
{
    const std::lock_guard<std::mutex> lock(mutex_);
    if (!is_running_)
    {
        return;
    }
    const std::int64_t now = steady_ms();
    advance_locked(now);
    for (const auto& [name, run] : runs_)
    {
        write_event(now, "ended", name.first, name.second, "crashed");
    }
    runs_.clear();
    ends_.clear();
    write_event(now, "dead");
    is_running_ = false;
    changed_.notify_all();
}

void simulated_target::drain()
{
    const std::lock_guard<std::mutex> lock(mutex_);
    is_draining_ = true;
}

void simulated_target::set_faults(const simulated_target_faults& faults)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    faults_ = faults;
}

void simulated_target::end_run(const run_ref& name, std::int64_t at,
                               const std::string& outcome)
{
    const auto& [task, run] = name;
    write_event(at, "ended", task, run, outcome);
    std::int64_t& highest = highest_runs_[task];
    highest = std::max(highest, run);
    ends_.push_back({++last_end_, task, run, outcome, false});
}

void simulated_target::advance_locked(std::int64_t now)
{
    if (!is_running_)
    {
        return;
    }
    const std::int64_t expiry = has_lease_ ? steady_at(lease_until_) : now + 1;
    const std::int64_t until = std::min(now, expiry);
    bool has_ended = false;
    for (auto it = runs_.begin(); it != runs_.end();)
    {
        if (it->second.ends_ms <= until)
        {
            end_run(it->first, it->second.ends_ms, it->second.outcome);
            it = runs_.erase(it);
            has_ended = true;
        }
        else
        {
            ++it;
        }
    }
    if (has_lease_ && expiry <= now)
    {
        has_lease_ = false;
        write_event(expiry, "expired");
        for (listed_end& item : ends_)
        {
            item.is_lease_expired = true;
        }
        for (const auto& [name, run] : runs_)
        {
            end_run(name, expiry, "lapsed");
        }
        runs_.clear();
        has_ended = true;
    }
    if (has_ended)
    {
        changed_.notify_all();
    }
}

void simulated_target::advance()
{
    const std::lock_guard<std::mutex> lock(mutex_);
    advance_locked(steady_ms());
}

void simulated_target::renew(std::int64_t lease_until_ms, std::int64_t now)
{
    const std::int64_t longest = clock_at(now) + options_.max_lease_ms;
    const std::int64_t until = std::min(lease_until_ms, longest);
    if (until > clock_at(now))
    {
        lease_until_ = has_lease_ ? std::max(lease_until_, until) : until;
        has_lease_ = true;
    }
}

order_result simulated_target::admit(std::int64_t token, std::int64_t now)
{
    advance_locked(now);
    if (!is_running_ || faults_.is_unhealthy)
    {
        return {is_running_ ? 503 : 421, ""};
    }
    if (token < token_)
    {
        return {409, "fence"};
    }
    token_ = token;
    return {200, ""};
}

order_result simulated_target::start(const target_order& order)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    const std::int64_t now = steady_ms();
    const order_result admission = admit(order.token, now);
    if (admission.status != 200)
    {
        return admission;
    }
    if (order.lease_until_ms <= clock_at(now))
    {
        return {409, "late"};
    }
    renew(order.lease_until_ms, now);
    const run_ref name{order.task, order.run};
    if (runs_.count(name) > 0)
    {
        return {200, ""};
    }
    const auto highest = highest_runs_.find(order.task);
    const auto later = runs_.upper_bound(name);
    if ((highest != highest_runs_.end() && order.run <= highest->second) ||
        (later != runs_.end() && later->first.first == order.task))
    {
        return {409, "old"};
    }
    const task_work work = find_work(order.spec, order.task);
    std::int64_t used = work.cpu_milli;
    for (const auto& [other, run] : runs_)
    {
        used += run.cpu;
    }
    if (used > options_.cpu_milli)
    {
        return {409, "room"};
    }
    live_run run;
    run.cpu = work.cpu_milli;
    run.started_ms = now;
    run.ends_ms = now + work.duration_ms * faults_.slowness;
    if (order.run <= work.failures)
    {
        run.outcome = "failed";
    }
    if (faults_.fails_runs)
    {
        run.outcome = "failed";
        run.ends_ms = now + 1;
    }
    write_event(now, "begun", order.task, order.run, "", order.token);
    runs_[name] = run;
    return {200, ""};
}

order_result simulated_target::stop(const target_order& order)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    const std::int64_t now = steady_ms();
    const order_result admission = admit(order.token, now);
    if (admission.status != 200)
    {
        return admission;
    }
    std::int64_t& highest = highest_runs_[order.task];
    highest = std::max(highest, order.run);
    for (auto it = runs_.lower_bound({order.task, 0});
         it != runs_.upper_bound({order.task, order.run}); ++it)
    {
        it->second.outcome = "stopped";
        it->second.ends_ms =
            std::min(it->second.ends_ms, now + options_.stop_time_ms);
    }
    return {200, ""};
}

order_result simulated_target::poll(const target_order& order,
                                    std::string& body)
{
    std::unique_lock<std::mutex> lock(mutex_);
    const std::int64_t now = steady_ms();
    const order_result admission = admit(order.token, now);
    if (admission.status != 200)
    {
        return admission;
    }
    while (!ends_.empty() && ends_.front().number <= order.acknowledged)
    {
        const listed_end& item = ends_.front();
        write_event(now, "acknowledged", item.task, item.run, item.outcome,
                    order.token, item.is_lease_expired ? "void" : "");
        ends_.pop_front();
    }
    if (order.lease_until_ms > 0)
    {
        renew(order.lease_until_ms, now);
    }
    const int boot_number = boot_number_;
    const auto end = std::chrono::steady_clock::now() +
                     std::chrono::milliseconds(std::clamp<std::int64_t>(
                         order.wait_ms, 0, max_wait_ms));
    changed_.wait_until(lock, end,
                        [&] {
                            return !ends_.empty() || !is_running_ ||
                                   boot_number_ != boot_number;
                        });
    if (!is_running_ || boot_number_ != boot_number)
    {
        return {0, ""};
    }
    body = poll_body();
    return {200, ""};
}

std::string simulated_target::poll_body() const
{
    const std::int64_t now = steady_ms();
    std::string body = fmt::format(R"({{"clockMs":{},"born":{},"running":[)",
                                   clock_at(now), booted_unix_ms_);
    bool is_first = true;
    for (const auto& [name, run] : runs_)
    {
        const std::int64_t length =
            std::max<std::int64_t>(1, run.ends_ms - run.started_ms);
        body += fmt::format(R"({}["{}",{},"",{},{}])", is_first ? "" : ",",
                            name.first, name.second,
                            (now - run.started_ms) * 100 / length, run.cpu);
        is_first = false;
    }
    body += R"(],"finished":[)";
    for (std::size_t n = 0; n < std::min(ends_.size(), max_ends_per_page); ++n)
    {
        const listed_end& item = ends_[n];
        body += fmt::format(R"({}[{},"{}",{},"{}",""])", n == 0 ? "" : ",",
                            item.number, item.task, item.run, item.outcome);
    }
    return body + "]}";
}

std::string simulated_target::answer_body(const std::string& reason)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return reason.empty()
               ? fmt::format(R"({{"clockMs":{}}})", clock_at(steady_ms()))
               : fmt::format(R"({{"clockMs":{},"reason":"{}"}})",
                             clock_at(steady_ms()), reason);
}

simulated_target_state simulated_target::view()
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return {is_running_ ? fmt::format("{}-{}", options_.name, id_number_) : "",
            boot_number_, token_, faults_};
}

std::string simulated_target::row_value()
{
    const std::lock_guard<std::mutex> lock(mutex_);
    ++sequence_;
    return fmt::format(
        R"({{"service":"work","address":"{}","zone":"{}","version":"1",)"
        R"("slots":8,"state":"{}","coldRemainingMs":0,"seq":{},"born":{},)"
        R"("capacity":{{"cpu":{},"memMb":{},"gpu":0}},)"
        R"("labels":["general","{}"]{}}})",
        options_.address, options_.data_center,
        is_draining_ ? "draining" : "ready", sequence_, booted_unix_ms_,
        options_.cpu_milli, options_.memory_mb, options_.rack,
        is_draining_ ? fmt::format(R"(,"remainingMs":{})", drain_ms) : "");
}

} // namespace egretspindle::standin
