#include "task_table.hpp"

#include "egretspindle/codec/json.hpp"
#include "egretspindle/core/error.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <random>

namespace egretspindle::standin
{

namespace
{

constexpr milliseconds tick_period{5};
// A longer gap means that the process was paused; the tasks did not execute
// during the gap.
constexpr double max_step_ms = 20;
constexpr milliseconds tick_record_period{25};
constexpr milliseconds usage_period{50};
// Tasks save their progress this often by themselves.
constexpr double checkpoint_period_ms = 200;
// Time for a new owner to renew before another one can claim the target.
constexpr std::int64_t claim_grace_ms = 1000;

std::uint64_t random_number()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32) | device();
}

} // namespace

// The clock starts at a random value, so that tests fail when a reader compares
// it with another clock.
task_table::task_table(const target_options& options)
    : options_(options),
      boot_id_(fmt::format("{}-{:016x}", options.name, random_number())),
      clock_origin_(steady_clock::now() -
                    milliseconds(1'000'000 + random_number() % 1'000'000'000)),
      last_advance_(steady_clock::now()), last_tick_record_(last_advance_),
      last_usage_sample_(last_advance_), journal_(options.journal)
{
    faults_.fail_all = options.fail_all;
    journal_event event;
    event.event = "boot";
    append(std::move(event));
    thread_ = std::thread([this] { run(); });
}

task_table::~task_table()
{
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        is_stopping_ = true;
    }
    wake_.notify_all();
    thread_.join();
}

absl::StatusOr<task_state> task_table::start(const start_command& command)
{
    lock_type lock(mutex_);
    advance(steady_clock::now());
    const absl::Status status = check_token({command.epoch, command.term});
    if (!status.ok())
    {
        return status;
    }
    const absl::StatusOr<task_ptr> value = admit(command);
    if (!value.ok())
    {
        return value.status();
    }
    wake_.notify_all();
    return wait_for_end(lock, *value, command.wait_ms);
}

task_state task_table::find(const std::string& key, int attempt,
                            std::int64_t wait_ms)
{
    lock_type lock(mutex_);
    advance(steady_clock::now());
    const auto it = tasks_.find({key, attempt});
    if (it == tasks_.end() || it->second->is_acknowledged)
    {
        return absent_state(key, attempt);
    }
    const task_ptr value = it->second;
    return wait_for_end(lock, value, wait_ms);
}

absl::StatusOr<task_state> task_table::stop(const stop_command& command)
{
    const lock_type lock(mutex_);
    advance(steady_clock::now());
    const absl::Status status = check_token({command.epoch, command.term});
    if (!status.ok())
    {
        return status;
    }
    const attempt_id id(command.key, command.attempt);
    const auto it = tasks_.find(id);
    if (it == tasks_.end())
    {
        if (tombstones_.insert(id).second)
        {
            task unknown;
            unknown.command.key = command.key;
            unknown.command.attempt = command.attempt;
            record("tombstone", unknown);
        }
        return absent_state(command.key, command.attempt);
    }
    task& value = *it->second;
    if (value.state == "running")
    {
        if (command.checkpoint)
        {
            save_checkpoint(value);
        }
        value.state = "stopped";
        value.error = "stopped";
        end_task(value, "stop");
    }
    return with_clock(state_of(value, true));
}

absl::StatusOr<task_state> task_table::throttle(const throttle_command& command)
{
    const lock_type lock(mutex_);
    advance(steady_clock::now());
    const absl::Status status = check_token({command.epoch, command.term});
    if (!status.ok())
    {
        return status;
    }
    const auto it = tasks_.find({command.key, command.attempt});
    if (it == tasks_.end())
    {
        return absent_state(command.key, command.attempt);
    }
    it->second->share = std::clamp(command.share, 0.0, 1.0);
    wake_.notify_all();
    return with_clock(state_of(*it->second, false));
}

task_state task_table::acknowledge(const ack_command& command)
{
    const lock_type lock(mutex_);
    const auto it = tasks_.find({command.key, command.attempt});
    if (it != tasks_.end() && it->second->state != "running")
    {
        // The attempt stays known, so that a delayed start does not run it.
        task& value = *it->second;
        value.is_acknowledged = true;
        value.answer.clear();
        value.checkpoint.clear();
        value.command.body.clear();
        value.command.checkpoint.clear();
    }
    return absent_state(command.key, command.attempt);
}

absl::StatusOr<target_state> task_table::renew(const renew_command& command)
{
    const lock_type lock(mutex_);
    // Ends tasks whose lease expired while the process was paused, before the
    // renewal can extend it.
    advance(steady_clock::now());
    const absl::Status status = check_token({command.epoch, command.term});
    if (!status.ok())
    {
        return status;
    }
    owner_lease_until_ms_ =
        std::max(owner_lease_until_ms_, command.lease_until_ms);
    for (const task_ptr& value : running_)
    {
        value->lease_until_ms =
            std::max(value->lease_until_ms, command.lease_until_ms);
    }
    return target_state_now();
}

target_state task_table::state()
{
    const lock_type lock(mutex_);
    advance(steady_clock::now());
    return target_state_now();
}

absl::StatusOr<fencing_token> task_table::claim(const claim_command& command)
{
    const lock_type lock(mutex_);
    advance(steady_clock::now());
    if (clock_ms() < owner_lease_until_ms_)
    {
        return make_error(error_kind::conflict,
                          "the owner's lease is valid; wait until it expires");
    }
    token_ = {std::max(token_.epoch, command.epoch), token_.term + 1};
    owner_lease_until_ms_ = clock_ms() + claim_grace_ms;
    return token_;
}

target_faults task_table::faults()
{
    const lock_type lock(mutex_);
    return faults_;
}

void task_table::set_faults(const target_faults& faults)
{
    const lock_type lock(mutex_);
    advance(steady_clock::now());
    faults_ = faults;
    faults_.speed = std::max(faults.speed, 0.0);
    wake_.notify_all();
}

void task_table::run()
{
    lock_type lock(mutex_);
    while (!is_stopping_)
    {
        const time_point now = steady_clock::now();
        advance(now);
        wake_.wait_until(lock, next_tick(now));
    }
}

std::int64_t task_table::clock_ms() const
{
    return elapsed_ms(clock_origin_, steady_clock::now());
}

time_point task_table::next_tick(time_point now) const
{
    if (running_.empty())
    {
        return now + std::chrono::seconds(1);
    }
    time_point result = now + tick_period;
    for (const task_ptr& value : running_)
    {
        const double rate =
            rate_of(*value, running_, options_) * std::max(faults_.speed, 1e-6);
        const double remaining_ms =
            (value->load.work_ms - value->done_ms) / rate;
        if (remaining_ms < 5)
        {
            const auto remaining = std::chrono::duration<double, std::milli>(
                std::max(remaining_ms, 0.0));
            result = std::min(
                result,
                now + std::chrono::ceil<std::chrono::microseconds>(remaining));
        }
    }
    return result;
}

absl::Status task_table::check_token(fencing_token token)
{
    if (token < token_)
    {
        return make_error(
            error_kind::stale_epoch,
            fmt::format("epoch {} term {} is older than {} and {}; reread the "
                        "ownership row",
                        token.epoch, token.term, token_.epoch, token_.term));
    }
    token_ = token;
    return absl::OkStatus();
}

absl::Status task_table::check_capacity(const start_command& command) const
{
    resources free = options_.capacity;
    for (const task_ptr& value : running_)
    {
        free = free - value->command.reserve;
    }
    std::string_view missing;
    if (static_cast<int>(running_.size()) >= options_.slots)
    {
        missing = "slots";
    }
    else if (connections_in_use_ >= options_.connections)
    {
        missing = "connections";
    }
    else if (!fits(command.reserve, free))
    {
        missing = "processors, memory or accelerators";
    }
    else
    {
        return absl::OkStatus();
    }
    return make_error(
        error_kind::overloaded,
        fmt::format("full: no free {}; choose another target", missing));
}

absl::StatusOr<task_ptr> task_table::admit(const start_command& command)
{
    const attempt_id id(command.key, command.attempt);
    const auto it = tasks_.find(id);
    if (it != tasks_.end())
    {
        return it->second;
    }
    if (tombstones_.count(id) > 0)
    {
        return make_error(error_kind::conflict,
                          "stopped: the attempt was stopped before it "
                          "arrived; use a new attempt number");
    }
    const std::int64_t lease_until_ms =
        std::max(command.lease_until_ms, owner_lease_until_ms_);
    if ((command.start_before_ms > 0 && clock_ms() > command.start_before_ms) ||
        clock_ms() >= lease_until_ms)
    {
        return make_error(error_kind::conflict,
                          "too_late: the time to start or the lease has "
                          "passed; renew and send a new attempt");
    }
    const absl::Status room = check_capacity(command);
    if (!room.ok())
    {
        return room;
    }
    task_ptr value = std::make_shared<task>();
    value->command = command;
    prepare(*value);
    value->lease_until_ms = lease_until_ms;
    owner_lease_until_ms_ = std::max(owner_lease_until_ms_, lease_until_ms);
    if (faults_.fail_all)
    {
        value->load.fail = true;
        value->load.work_ms = std::min(value->load.work_ms, 1.0);
        value->error = "target fault";
    }
    record("start", *value);
    tasks_[id] = value;
    running_.push_back(value);
    record_overload();
    return value;
}

void task_table::advance(time_point now)
{
    const double step_ms = std::min(
        max_step_ms,
        std::chrono::duration<double, std::milli>(now - last_advance_).count());
    last_advance_ = now;
    const std::int64_t target_ms = clock_ms();
    const std::int64_t wall_ms = unix_ms();
    std::vector<double> rates;
    rates.reserve(running_.size());
    for (const task_ptr& value : running_)
    {
        rates.push_back(rate_of(*value, running_, options_) * faults_.speed);
    }
    const std::vector<task_ptr> running = running_;
    for (std::size_t n = 0; n < running.size(); ++n)
    {
        task& value = *running[n];
        if (target_ms >= value.lease_until_ms)
        {
            value.state = "stopped";
            value.error = "lease_lapsed";
            end_task(value, "lease_lapse");
            continue;
        }
        value.rate = rates[n];
        value.done_ms += step_ms * rates[n];
        value.last_tick_ms = wall_ms;
        if (value.done_ms - value.checkpointed_ms >= checkpoint_period_ms)
        {
            save_checkpoint(value);
        }
        if (value.done_ms + 1e-6 >= value.load.work_ms)
        {
            finish(value);
        }
    }
    if (!running_.empty() && now - last_tick_record_ >= tick_record_period)
    {
        last_tick_record_ = now;
        journal_event event;
        event.event = "tick";
        event.last_tick_ms = wall_ms;
        append(std::move(event));
    }
    sample_usage(now);
}

void task_table::finish(task& value)
{
    value.state = "finished";
    value.ok = !value.load.fail;
    if (value.ok)
    {
        value.answer = answer_of(value.command.key, value.command.body);
    }
    else if (value.error.empty())
    {
        value.error = "the task failed";
    }
    end_task(value, "end");
}

void task_table::end_task(task& value, const char* event)
{
    value.ended = steady_clock::now();
    running_.erase(std::remove_if(running_.begin(), running_.end(),
                                  [&](const task_ptr& it)
                                  { return it.get() == &value; }),
                   running_.end());
    record(event, value);
    record_overload();
    value.changed.notify_all();
}

void task_table::sample_usage(time_point now)
{
    if (now - last_usage_sample_ < usage_period)
    {
        return;
    }
    last_usage_sample_ = now;
    usage_sample sample{now, {}};
    for (const task_ptr& value : running_)
    {
        sample.usage.push_back({value->command.key, value->command.attempt,
                                cores_of(*value, options_.has_guards),
                                value->load.memory_mb, value->rate});
    }
    usage_.push_back(std::move(sample));
    while (usage_.size() > 1 &&
           now - usage_[1].time >= milliseconds(options_.usage_lag_ms))
    {
        usage_.pop_front();
    }
}

void task_table::record_overload()
{
    resources used;
    for (const task_ptr& value : running_)
    {
        used = used + resources{cores_of(*value, options_.has_guards),
                                value->load.memory_mb,
                                value->command.reserve.accelerators};
    }
    const bool is_overloaded = !fits(used, options_.capacity);
    if (is_overloaded && !is_overloaded_)
    {
        journal_event event;
        event.event = "overload";
        event.detail = fmt::format(
            "{:.2f} of {} cores, {:.0f} of {} MB, {} of {} accelerators",
            used.cpu_cores, options_.capacity.cpu_cores, used.memory_mb,
            options_.capacity.memory_mb, used.accelerators,
            options_.capacity.accelerators);
        append(std::move(event));
    }
    is_overloaded_ = is_overloaded;
}

void task_table::record(const char* event, const task& value)
{
    journal_event line;
    line.event = event;
    line.key = value.command.key;
    line.attempt = value.command.attempt;
    line.team = value.command.team;
    line.kind = value.command.kind;
    line.urgent = value.command.urgent;
    line.ok = value.ok;
    line.done_ms = value.done_ms;
    line.last_tick_ms = value.last_tick_ms;
    line.detail = value.error;
    append(std::move(line));
}

void task_table::append(journal_event event)
{
    if (!journal_.is_open())
    {
        return;
    }
    event.wall_ms = unix_ms();
    event.target = options_.name;
    event.boot_id = boot_id_;
    event.epoch = token_.epoch;
    event.term = token_.term;
    journal_.append(to_json(event));
}

task_state task_table::wait_for_end(lock_type& lock, const task_ptr& value,
                                    std::int64_t wait_ms)
{
    if (value->state == "running" && wait_ms > 0)
    {
        ++connections_in_use_;
        value->changed.wait_for(lock, milliseconds(wait_ms),
                                [&] { return value->state != "running"; });
        --connections_in_use_;
    }
    return with_clock(state_of(*value, true));
}

task_state task_table::with_clock(task_state value) const
{
    value.clock_ms = clock_ms();
    value.boot_id = boot_id_;
    return value;
}

task_state task_table::absent_state(const std::string& key, int attempt) const
{
    task_state result;
    result.key = key;
    result.attempt = attempt;
    if (tombstones_.count({key, attempt}) > 0)
    {
        result.state = "stopped";
        result.error = "never_started";
    }
    return with_clock(std::move(result));
}

target_state task_table::target_state_now()
{
    target_state result;
    result.clock_ms = clock_ms();
    result.boot_id = boot_id_;
    result.epoch = token_.epoch;
    result.term = token_.term;
    result.slots = options_.slots;
    result.connections = options_.connections;
    result.cpu_cores = options_.capacity.cpu_cores;
    result.memory_mb = options_.capacity.memory_mb;
    result.accelerators = options_.capacity.accelerators;
    for (const auto& [id, value] : tasks_)
    {
        if (!value->is_acknowledged)
        {
            result.tasks.push_back(with_clock(state_of(*value, false)));
        }
    }
    if (!usage_.empty() && steady_clock::now() - usage_.front().time >=
                               milliseconds(options_.usage_lag_ms))
    {
        result.usage = usage_.front().usage;
    }
    return result;
}

} // namespace egretspindle::standin
