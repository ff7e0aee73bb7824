#include "cancel_simulation.hpp"

#include <algorithm>

namespace egretspindle::cancel_simulation
{

simulation::simulation(unsigned seed, const play_options& options)
    : random_(seed), options_(options)
{
    targets_.resize(static_cast<std::size_t>(draw(2, 4)));
    for (std::size_t n = 0; n < targets_.size(); ++n)
    {
        targets_[n].id = "t" + std::to_string(n);
        targets_[n].boot_at = now_;
    }
    change_owner();
    if (!options_.has_cancellings)
    {
        every(ms(100), [this] { check_idle(); });
    }
    every(ms(50), [this] { advance_targets(); });
    every(ms(100), [this] { send_messages(); });
    every(options_.submit_period, [this] { submit(); });
    every(ms(400), [this] { disturb(); });
}

std::string simulation::play()
{
    const time_point end =
        now_ + (options_.has_cancellings ? play_time : finished_play_time);
    while (now_ < end && failure_.empty())
    {
        const auto it = events_.begin();
        now_ = it->first;
        const std::function<void()> event = std::move(it->second);
        events_.erase(it);
        event();
    }
    check_finished();
    return failure_;
}

int simulation::draw(int low, int high)
{
    return std::uniform_int_distribution<int>(low, high)(random_);
}

// Returns true in a time of trouble, with a chance in percent.
bool simulation::trouble(int percent)
{
    const ms played = std::chrono::duration_cast<ms>(now_ - begin_);
    return played % round_time < trouble_time &&
           (options_.has_cancellings || played < submit_time) &&
           draw(0, 99) < percent * severity_ / 2;
}

void simulation::at(ms delay, std::function<void()> event)
{
    events_.emplace(now_ + delay, std::move(event));
}

void simulation::every(ms period, std::function<void()> event)
{
    at(period,
       [this, period, event = std::move(event)]
       {
           event();
           every(period, event);
       });
}

void simulation::fail(const std::string& what, const run_id& id)
{
    if (failure_.empty())
    {
        failure_ = what + ": run " + std::to_string(id.second) + " of " +
                   id.first + " at " +
                   std::to_string(elapsed_ms(begin_, now_)) + " ms";
    }
}

sim_target& simulation::sim(const std::string& id)
{
    return *std::find_if(targets_.begin(), targets_.end(),
                         [&id](const auto& it) { return it.id == id; });
}

std::int64_t simulation::clock_of(const sim_target& target) const
{
    return elapsed_ms(target.boot_at, now_) + 1;
}

void simulation::renew(sim_target& target, std::int64_t until_ms)
{
    const std::int64_t longest = clock_of(target) + limits.longest.count();
    target.lease_until = std::max(
        target.lease_until, target.boot_at + ms(std::min(until_ms, longest)));
}

// The platform carries out orders late. A start that was made for an earlier
// boot may begin in one that neither the owner that reported the end nor a
// later one has reached: that boot knows of no stop.
//
// \param seen  highest token that the boot had seen before the order
bool simulation::is_late_order(const sim_target& target, const run_id& id,
                               std::int64_t seen, std::int64_t made_for) const
{
    return made_for < target.started_ms && seen < unstarted_.at(id);
}

order_answer simulation::start(sim_target& target, const start_order& order,
                               std::int64_t made_for)
{
    const run_id id{order.task, order.run};
    const std::int64_t clock = clock_of(target);
    if (trouble(5))
    {
        return {order_verdict::unhealthy, clock};
    }
    if (order.token < target.token)
    {
        return {order_verdict::wrong_token, clock};
    }
    const std::int64_t seen = target.token;
    target.token = order.token;
    renew(target, order.lease_until_ms);
    if (target.runs.count(id) > 0)
    {
        return {order_verdict::taken, clock};
    }
    if (target.ruled_out[id.first] >= id.second)
    {
        return {order_verdict::old_run, clock};
    }
    if (order.lease_until_ms <= clock)
    {
        return {order_verdict::too_late, clock};
    }
    if (target.runs.size() >= slots)
    {
        return {order_verdict::no_room, clock};
    }
    if (unstarted_.count(id) > 0 && !is_late_order(target, id, seen, made_for))
    {
        fail("started after it was reported as not started", id);
    }
    ++begun_runs_;
    check_start(target, id);
    const bool is_long = tasks_.at(id.first).terms->is_long_running;
    target.runs[id] = {
        now_, now_ + (is_long ? play_time : draw_ms(300, options_.longest_run)),
        draw(0, 9) == 0 ? "failed" : "done"};
    return {order_verdict::taken, clock};
}

order_answer simulation::stop(sim_target& target, const stop_order& order)
{
    if (order.token < target.token)
    {
        return {order_verdict::wrong_token, clock_of(target)};
    }
    target.token = order.token;
    std::int64_t& ruled_out = target.ruled_out[order.task];
    ruled_out = std::max(ruled_out, order.run);
    const auto it = target.runs.find({order.task, order.run});
    if (it != target.runs.end() && it->second.how != "stopped")
    {
        it->second.how = "stopped";
        it->second.ends_at = std::min(
            it->second.ends_at, now_ + draw_ms(0, int(stop_grace.count())));
    }
    return {order_verdict::taken, clock_of(target)};
}

poll_answer simulation::poll(sim_target& target, const poll_request& order)
{
    poll_answer answer;
    answer.clock_ms = clock_of(target);
    answer.started_ms = target.started_ms;
    if (order.token < target.token)
    {
        answer.verdict = order_verdict::wrong_token;
        return answer;
    }
    target.token = order.token;
    renew(target, order.lease_until_ms);
    while (!target.ends.empty() &&
           target.ends.front().number <= order.acknowledged)
    {
        acknowledge_end(target, target.ends.front());
        target.ends.erase(target.ends.begin());
    }
    answer.ends = target.ends;
    answer.max_ends = options_.max_ends;
    if (answer.ends.size() > answer.max_ends)
    {
        answer.ends.resize(answer.max_ends);
        ++cut_lists_;
    }
    for (const auto& [id, run] : target.runs)
    {
        answer.runs.push_back({id.first, id.second, "", 100, 0});
    }
    return answer;
}

// Ends runs, and finds those of cancelled jobs that go on for too long.
void simulation::advance_targets()
{
    for (sim_target& target : targets_)
    {
        const bool has_lapsed = now_ >= target.lease_until;
        if (has_lapsed)
        {
            lapse_ends(target);
        }
        if (now_ < target.dark_until)
        {
            troubled_at_ = now_;
        }
        for (auto it = target.runs.begin(); it != target.runs.end();)
        {
            const auto& [id, run] = *it;
            const time_point cancelled = tasks_.at(id.first).cancelled_at;
            if (cancelled <= now_ &&
                now_ > std::max({cancelled, run.began_at,
                                 troubled_at_ + contact_time}) +
                           cancel_time + stop_grace)
            {
                fail("not stopped on " + target.id, id);
            }
            if (!has_lapsed && now_ < run.ends_at)
            {
                ++it;
                continue;
            }
            std::int64_t& ruled_out = target.ruled_out[id.first];
            ruled_out = std::max(ruled_out, id.second);
            target.ends.push_back({++target.last_number, id.first, id.second,
                                   has_lapsed ? "lapsed" : run.how, ""});
            record_end(target, target.ends.back());
            it = target.runs.erase(it);
        }
    }
}

void simulation::disturb()
{
    if (trouble(100))
    {
        troubled_at_ = now_;
    }
    if (trouble(10))
    {
        change_owner();
    }
    if (trouble(5))
    {
        // A new owner of the jobs, which has read them from the store.
        known_token_ = token_;
        for (auto& [name, task] : tasks_)
        {
            task.deliveries = 1;
            task.confirmed_token = 0;
            task.sent_at = task.stop_sent_at = {};
        }
    }
    sim_target& target = targets_[std::size_t(draw(0, 100)) % targets_.size()];
    if (trouble(8))
    {
        target.dark_until = now_ + draw_ms(500, 9'000);
    }
    if (!options_.has_cancellings && trouble(10))
    {
        job_owners_down_until_[std::size_t(draw(0, 3))] =
            now_ + draw_ms(500, 9'000);
    }
    if (trouble(5))
    {
        store_down_until_ = now_ + draw_ms(500, 9'000);
    }
    if (target.is_up && trouble(10))
    {
        target.is_up = false;
        target.runs.clear();
        at(draw_ms(100, 3'000),
           [this, &target]
           {
               const std::string id = target.id;
               const std::int64_t boot = target.started_ms + 1;
               target = {};
               target.id = id;
               target.started_ms = boot;
               target.boot_at = now_;
               troubled_at_ = now_;
               at(draw_ms(100, 2'000),
                  [this, id, boot] { list_restart(id, boot); });
           });
    }
}

} // namespace egretspindle::cancel_simulation
