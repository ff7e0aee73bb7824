#include "simulation.hpp"

#include "egretspindle/placement/capacity.hpp"
#include "egretspindle/placement/observe.hpp"

#include "baselines.hpp"

#include <algorithm>
#include <cmath>

namespace egretspindle::bench
{

namespace
{

constexpr double tick_ms = 2;
constexpr std::chrono::microseconds tick_time{2000};
constexpr double report_period_ms = 1000;
constexpr milliseconds report_lag{1500};
constexpr milliseconds stop_time{150};
constexpr double dispatch_period_ms = 20;
constexpr double summary_period_ms = 500;
constexpr int batch_starts_per_dispatch = 8;
// Fraction of each batch kind in the offered batch work.
constexpr std::array<double, kind_count> batch_mix{0, 0, 0.35, 0.4, 0.25};
constexpr double draft_share = 0.7; ///< fraction of the urgent work

std::int64_t ticks_per(double period_ms)
{
    return static_cast<std::int64_t>(period_ms / tick_ms);
}

double wrong_factor(std::mt19937_64& rng)
{
    return std::pow(10, std::uniform_real_distribution<>(-1, 1)(rng));
}

double percentile(std::vector<double> values, double share)
{
    if (values.empty())
    {
        return 0;
    }
    const auto n = static_cast<std::size_t>(
        share * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + n, values.end());
    return values[n];
}

} // namespace

simulation::simulation(const scenario& run)
    : run_(run), rng_(run.seed), begin_(time_point{} + std::chrono::hours(10)),
      now_(begin_), targets_(make_targets(run, rng_)), racks_(2), models_(2),
      urgent_(2), waiting_(2), ended_(2), summaries_(2)
{
    std::vector<std::string> names;
    for (std::size_t n = 0; n < targets_.size(); ++n)
    {
        target_load load;
        load.name = targets_[n].name;
        load.capacity = targets_[n].capacity;
        load.slots = targets_[n].slots;
        load.connections = targets_[n].connections;
        names.push_back(load.name);
        racks_[rack_of(n)].targets.push_back(std::move(load));
    }
    set_targets(health_, names);
    if (run.choice == strategy::no_admission)
    {
        limits_.urgent_floor = 0;
        limits_.batch_floor = 0;
        batch_.max_items = 10000000;
        for (const kind_profile& kind : kinds)
        {
            limits_.teams[kind.team].quota = 1;
            limits_.teams[kind.team].max_queue = 10000000;
        }
        urgent_[0].max_items = urgent_[1].max_items = 5000;
    }
    summarize_racks();
}

bool simulation::measured() const
{
    return now_ - begin_ >= std::chrono::duration<double>(run_.warm_up_s);
}

std::size_t simulation::rack_of(std::size_t target) const
{
    return target / 8;
}

target_load& simulation::load_of(std::size_t target)
{
    return racks_[rack_of(target)].targets[target % 8];
}

std::size_t simulation::target_index(const std::string& name) const
{
    return std::stoul(name.substr(1));
}

run_result simulation::run()
{
    const double total_s = run_.warm_up_s + run_.measured_s;
    const auto total = static_cast<std::int64_t>(total_s * 1000 / tick_ms);
    for (; ticks_ < total; ++ticks_)
    {
        tick();
        now_ += tick_time;
    }
    end_measurement();
    return result_;
}

void simulation::tick()
{
    add_arrivals();
    std::vector<fake_end> ends;
    for (std::size_t n = 0; n < targets_.size(); ++n)
    {
        const bool over = advance(jobs_, targets_[n], n, now_, tick_ms, ends);
        result_.overloads += over ? 1 : 0;
    }
    for (const fake_end& end : ends)
    {
        finish(end);
    }
    take_reports();
    deliver_reports();
    if (ticks_ % ticks_per(summary_period_ms) == 0)
    {
        summarize_racks();
    }
    if (ticks_ % ticks_per(dispatch_period_ms) == 0)
    {
        dispatch_batch();
    }
    for (std::size_t rack = 0; rack < racks_.size(); ++rack)
    {
        if (ended_[rack] || ticks_ % ticks_per(dispatch_period_ms) == 0)
        {
            dispatch_urgent(rack);
            ended_[rack] = false;
        }
    }
    if (measured())
    {
        ++measured_ticks_;
        for (const fake_target& target : targets_)
        {
            for (const fake_task& task : target.tasks)
            {
                batch_slot_ticks_ += kinds[jobs_[task.job].kind].urgent ? 0 : 1;
            }
        }
    }
}

void simulation::add_arrivals()
{
    const double slots = 8.0 * static_cast<double>(targets_.size());
    const bool flood = measured();
    for (std::size_t n = 0; n < kind_count; ++n)
    {
        const double part = n == 0   ? draft_share
                            : n == 1 ? 1 - draft_share
                                     : batch_mix[n];
        const double load =
            (kinds[n].urgent ? run_.urgent_load : run_.batch_load) * part;
        const double per_tick = slots * tick_ms / kinds[n].work_ms;
        double extra = 0;
        if (flood)
        {
            // Floods consist of the urgent kind that is slowed the most and of
            // the batch kind that slows it.
            extra = n == 0 ? run_.urgent_flood : n == 2 ? run_.batch_flood : 0;
        }
        for (const bool from_flood : {false, true})
        {
            const double mean = per_tick * (from_flood ? extra : load);
            int count = mean > 0 ? std::poisson_distribution<>(mean)(rng_) : 0;
            for (; count > 0; --count)
            {
                add_job(n, from_flood);
            }
        }
    }
}

void simulation::add_job(std::size_t kind, bool flood)
{
    const kind_profile& profile = kinds[kind];
    std::uniform_real_distribution<> size(0.6, 1.0);
    fake_job job;
    job.kind = kind;
    job.size = {profile.cpu_cores * size(rng_), profile.memory_mb * size(rng_),
                0};
    if (!profile.urgent)
    {
        job.size.cpu_cores *= run_.size_scale;
        job.size.memory_mb *= run_.size_scale;
    }
    job.work_ms =
        profile.work_ms * std::lognormal_distribution<>(-0.02, 0.2)(rng_);
    job.declared = job.size;
    job.expected_ms = profile.work_ms;
    if (run_.wrong_sizes)
    {
        job.declared.cpu_cores *= wrong_factor(rng_);
        job.declared.memory_mb *= wrong_factor(rng_);
        job.expected_ms *= wrong_factor(rng_);
    }
    job.flood = flood;
    job.arrival = now_;
    if (!profile.urgent && run_.bad_jobs > 0 && rng_() % 50 == 0)
    {
        --run_.bad_jobs;
        job.bad = true;
    }
    jobs_.push_back(job);
    const std::size_t index = jobs_.size() - 1;
    observe_request(retries_, profile.team);
    if (profile.urgent)
    {
        submit_urgent(index);
    }
    else if (check_queue_capacity(batch_, limits_, profile.team).ok())
    {
        enqueue(index);
    }
    else
    {
        ++result_.flood_rejected;
    }
}

task_request simulation::request_of(std::size_t job) const
{
    const fake_job& from = jobs_[job];
    const kind_profile& profile = kinds[from.kind];
    task_request request;
    request.key = std::to_string(job);
    request.attempt = from.attempt + 1;
    request.kind = profile.name;
    request.team = profile.team;
    request.urgent = profile.urgent;
    request.checkpointable = !profile.urgent;
    request.size = from.declared;
    request.expected_ms = from.expected_ms;
    request.excluded = from.excluded;
    if (profile.urgent)
    {
        request.deadline =
            from.arrival + milliseconds(static_cast<int>(profile.deadline_ms));
    }
    return request;
}

void simulation::submit_urgent(std::size_t job)
{
    const task_request request = request_of(job);
    const std::vector<std::size_t> order =
        choose_racks(summaries_, request, rng_);
    for (const bool may_evict : {false, true})
    {
        for (const std::size_t rack : order)
        {
            if (try_rack(job, rack, false, may_evict))
            {
                return;
            }
        }
    }
    count_lost_urgent(job, "no rack");
}

bool simulation::try_rack(std::size_t job, std::size_t rack, bool queued,
                          bool may_evict)
{
    task_request request = request_of(job);
    request.may_evict = may_evict;
    if (!queued)
    {
        observe_request(racks_[rack], request.team, request.urgent, now_);
        if (request.urgent)
        {
            observe_urgent_arrival(models_[rack], request.kind, now_);
        }
    }
    const placement_decision decision = choose_with(
        run_.choice, racks_[rack], request, models_[rack], limits_, now_, rng_);
    if (measured() && request.urgent && !queued && may_evict &&
        (decision.kind != placement_kind::place || !decision.evictions.empty()))
    {
        ++result_.not_placed[decision.reason];
    }
    if (decision.kind == placement_kind::place)
    {
        apply_decision(job, rack, decision);
        return true;
    }
    if (!request.urgent || queued || decision.kind == placement_kind::reject)
    {
        return false;
    }
    if (!may_evict)
    {
        return false;
    }
    task_request waiting = request;
    if (run_.choice == strategy::no_admission)
    {
        // A single queue in order of arrival.
        waiting.deadline.reset();
        waiting.team = "all";
    }
    const urgent_admission admission =
        admit(urgent_[rack], limits_, waiting, decision.predicted_run_ms,
              decision.predicted_wait_ms, now_);
    if (admission.displaced != 0)
    {
        const std::size_t other = waiting_[rack][admission.displaced];
        count_lost_urgent(other, "displaced");
    }
    if (admission.admitted)
    {
        waiting_[rack].resize(admission.id + 1);
        waiting_[rack][admission.id] = job;
    }
    return admission.admitted;
}

void simulation::count_lost_urgent(std::size_t job, const char* /*reason*/)
{
    if (!measured() ||
        jobs_[job].arrival <
            begin_ + milliseconds(static_cast<int>(run_.warm_up_s * 1000)))
    {
        return;
    }
    const double waited =
        static_cast<double>(elapsed_ms(jobs_[job].arrival, now_));
    result_.max_reject_ms = std::max(result_.max_reject_ms, waited);
    if (jobs_[job].flood)
    {
        ++result_.flood_rejected;
        return;
    }
    ++result_.urgent_lost;
    checks_ += jobs_[job].kind == 1 ? 1 : 0;
    latencies_.push_back(kinds[jobs_[job].kind].deadline_ms);
}

void simulation::apply_decision(std::size_t job, std::size_t rack,
                                const placement_decision& decision)
{
    const std::size_t target = target_index(decision.target);
    fake_job& entry = jobs_[job];
    ++entry.attempt;
    const kind_profile& profile = kinds[entry.kind];
    task_load load;
    load.key = std::to_string(job);
    load.attempt = entry.attempt;
    load.kind = profile.name;
    load.team = profile.team;
    load.urgent = profile.urgent;
    load.reserve = decision.reservation;
    load.started = now_;
    load.expected_end =
        now_ + std::chrono::microseconds(static_cast<std::int64_t>(
                   1000 * decision.predicted_finish_ms));
    load.checkpointable = !profile.urgent;
    racks_[rack].targets[target % 8].tasks.push_back(std::move(load));
    if (!profile.urgent)
    {
        ++use_[profile.team].tasks;
        use_[profile.team].cpu_cores += decision.reservation.cpu_cores;
    }
    for (const eviction& order : decision.evictions)
    {
        stop(order);
    }
    if (decision.evictions.empty())
    {
        start(job, target);
    }
    else
    {
        pending_.push_back({job, target, decision.evictions.size()});
    }
}

void simulation::stop(const eviction& order)
{
    const std::size_t target = target_index(order.target);
    const std::size_t job = std::stoul(order.key);
    for (fake_task& task : targets_[target].tasks)
    {
        if (task.job == job && !task.stopping)
        {
            task.stopping = true;
            task.stop_at = now_ + stop_time;
        }
    }
    for (task_load& task : load_of(target).tasks)
    {
        task.stopping = task.stopping || task.key == order.key;
    }
    if (measured())
    {
        ++result_.evictions[std::string(to_string(order.cause))];
    }
}

void simulation::start(std::size_t job, std::size_t target)
{
    fake_task task;
    task.job = job;
    task.start_done_ms = jobs_[job].done_ms;
    task.started = now_;
    targets_[target].tasks.push_back(task);
}

void simulation::finish(const fake_end& end)
{
    const std::size_t rack = rack_of(end.target);
    target_load& load = load_of(end.target);
    const std::string key = std::to_string(end.job);
    fake_job& job = jobs_[end.job];
    const kind_profile& profile = kinds[job.kind];
    const auto it =
        std::find_if(load.tasks.begin(), load.tasks.end(),
                     [&key](const task_load& task) { return task.key == key; });
    const double run_ms = static_cast<double>(elapsed_ms(it->started, now_));
    const bool partial = end.stopped || it->share < 1 || job.attempt > 1;
    observe_end(models_[rack], load,
                {profile.name, profile.urgent, end.ok, run_ms, partial}, now_);
    if (!profile.urgent)
    {
        --use_[profile.team].tasks;
        use_[profile.team].cpu_cores -= it->reserve.cpu_cores;
    }
    load.tasks.erase(it);
    ended_[rack] = true;
    for (pending_start& entry : pending_)
    {
        if (entry.target == end.target && end.stopped && --entry.stops == 0)
        {
            start(entry.job, entry.target);
            break;
        }
    }
    pending_.erase(std::remove_if(pending_.begin(), pending_.end(),
                                  [](const pending_start& entry)
                                  { return entry.stops == 0; }),
                   pending_.end());
    if (!end.stopped)
    {
        observe_result(health_, load.name,
                       {key, profile.name, profile.team, end.ok, now_});
    }
    if (end.stopped && !end.ok)
    {
        enqueue(end.job);
    }
    else if (!end.ok)
    {
        finish_failed(end.job, end.target);
    }
    else
    {
        remove_job(health_, key);
        count_success(end.job);
    }
}

void simulation::count_success(std::size_t job)
{
    const fake_job& entry = jobs_[job];
    const kind_profile& profile = kinds[entry.kind];
    if (!measured())
    {
        return;
    }
    if (!profile.urgent)
    {
        ++result_.batch_done;
        result_.batch_work_s += entry.work_ms / 1000;
        return;
    }
    const double latency = static_cast<double>(elapsed_ms(entry.arrival, now_));
    if (entry.flood)
    {
        return;
    }
    ++result_.urgent_done;
    result_.urgent_work_s += entry.work_ms / 1000;
    latencies_.push_back(latency);
    if (entry.kind == 1)
    {
        ++checks_;
        checks_met_ += latency <= profile.deadline_ms ? 1 : 0;
    }
}

void simulation::finish_failed(std::size_t job, std::size_t target)
{
    fake_job& entry = jobs_[job];
    const kind_profile& profile = kinds[entry.kind];
    entry.excluded.push_back(targets_[target].name);
    entry.done_ms = 0;
    if (profile.urgent)
    {
        if (consume_retry_token(retries_, profile.team))
        {
            submit_urgent(job);
        }
        else
        {
            count_lost_urgent(job, "failed");
        }
        return;
    }
    const job_decision decision = decide_on_job(health_, std::to_string(job));
    if (decision.verdict != job_verdict::retry)
    {
        ++(entry.bad ? result_.bad_parked : result_.good_parked);
        return;
    }
    entry.excluded = decision.excluded;
    enqueue(job);
}

void simulation::enqueue(std::size_t job)
{
    const fake_job& entry = jobs_[job];
    const kind_profile& profile = kinds[entry.kind];
    batch_item item;
    item.key = std::to_string(job);
    item.team = profile.team;
    item.kind = profile.name;
    const task_request request = request_of(job);
    item.size = reservation_for(models_[0], request, {32, 125000, 0});
    item.expected_ms = entry.expected_ms;
    item.enqueued = entry.arrival;
    push(batch_, std::move(item));
}

void simulation::dispatch_batch()
{
    for (int n = 0; n < batch_starts_per_dispatch; ++n)
    {
        std::optional<batch_item> item =
            next_batch(batch_, limits_, use_, summaries_, now_);
        if (!item)
        {
            return;
        }
        const std::size_t job = std::stoul(item->key);
        bool placed = false;
        for (const std::size_t rack :
             choose_racks(summaries_, request_of(job), rng_))
        {
            placed = placed || try_rack(job, rack, false);
        }
        if (!placed)
        {
            defer(batch_, std::move(*item), now_, milliseconds(500));
        }
    }
}

void simulation::dispatch_urgent(std::size_t rack)
{
    for (const std::uint64_t id : expire(urgent_[rack], now_))
    {
        count_lost_urgent(waiting_[rack][id], "expired");
    }
    std::vector<std::uint64_t> skip;
    while (skip.size() < 4)
    {
        const std::optional<std::uint64_t> id =
            next_urgent(urgent_[rack], limits_, skip, now_);
        if (!id)
        {
            return;
        }
        if (try_rack(waiting_[rack][*id], rack, true))
        {
            remove(urgent_[rack], *id, true, now_);
        }
        else
        {
            skip.push_back(*id);
        }
    }
}

void simulation::take_reports()
{
    const std::int64_t period = ticks_per(report_period_ms);
    for (std::size_t n = 0; n < targets_.size(); ++n)
    {
        if (ticks_ % period == static_cast<std::int64_t>(n * 17) % period)
        {
            reports_.push_back(
                {now_ + report_lag, n, measure(jobs_, targets_[n], rng_)});
        }
    }
}

void simulation::deliver_reports()
{
    while (!reports_.empty() && reports_.front().due <= now_)
    {
        apply_report(reports_.front());
        reports_.pop_front();
    }
}

void simulation::apply_report(const report& entry)
{
    const std::size_t rack = rack_of(entry.target);
    target_load& load = load_of(entry.target);
    observe_usage(models_[rack], load, entry.samples, now_);
    for (const usage_sample& sample : entry.samples)
    {
        for (task_load& task : load.tasks)
        {
            if (task.key == sample.key && task.attempt == sample.attempt)
            {
                task.measured = true;
                task.used = {sample.cpu_cores, sample.memory_mb, 0};
            }
        }
    }
    const guard_actions actions =
        check_guards(racks_[rack], models_[rack], limits_, now_);
    for (const throttle& order : actions.throttles)
    {
        const std::size_t target = target_index(order.target);
        for (task_load& task : load_of(target).tasks)
        {
            task.share = task.key == order.key ? order.share : task.share;
        }
        for (fake_task& task : targets_[target].tasks)
        {
            task.share = std::to_string(task.job) == order.key ? order.share
                                                               : task.share;
        }
        result_.throttles += measured() ? 1 : 0;
    }
    for (const eviction& order : actions.evictions)
    {
        stop(order);
    }
}

void simulation::summarize_racks()
{
    advance_health(health_, now_);
    for (std::size_t n = 0; n < racks_.size(); ++n)
    {
        for (target_load& target : racks_[n].targets)
        {
            target.health_state = health_state_of(health_, target.name);
        }
        summaries_[n] =
            summarize(racks_[n], models_[n], 1,
                      static_cast<int>(urgent_[n].items.size()), now_);
    }
}

void simulation::end_measurement()
{
    result_.urgent_p50_ms = percentile(latencies_, 0.5);
    result_.urgent_p99_ms = percentile(latencies_, 0.99);
    result_.check_met = checks_ > 0 ? static_cast<double>(checks_met_) /
                                          static_cast<double>(checks_)
                                    : 1;
    result_.batch_slots = batch_slot_ticks_ /
                          static_cast<double>(measured_ticks_) /
                          (8.0 * static_cast<double>(targets_.size()));
}

} // namespace egretspindle::bench
