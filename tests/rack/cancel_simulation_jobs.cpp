#include "egretspindle/rack/order_sequence.hpp"

#include "cancel_simulation.hpp"

#include <algorithm>

namespace egretspindle::cancel_simulation
{

void simulation::report(const owner_ptr& owner,
                        const std::vector<run_event>& events)
{
    for (const run_event& event : events)
    {
        send_report(owner, event);
    }
}

void simulation::send_report(const owner_ptr& owner, const run_event& event)
{
    if (!reaches_owner_of(event.task) || trouble(15))
    {
        at(ms(300), [this, owner, event] { send_report(owner, event); });
        return;
    }
    at(transit(),
       [this, owner, event]
       {
           const std::string verdict = judge(owner->rack.token, event);
           if (verdict == "retry" || trouble(15))
           {
               at(ms(300), [this, owner, event] { send_report(owner, event); });
               return;
           }
           at(transit(), [this, owner, event, verdict]
              { apply_verdict(owner, event, verdict); });
       });
}

void simulation::apply_verdict(const owner_ptr& owner, const run_event& event,
                               const std::string& verdict)
{
    const auto found = owner->rack.targets.find(event.target);
    if (owner->is_dropped || found == owner->rack.targets.end())
    {
        return;
    }
    rack_target& target = found->second;
    const run_id id{event.task, event.run};
    if (event.number > 0 && verdict == "recorded")
    {
        acknowledge(target, event.number, id);
    }
    const auto run = target.runs.find(id);
    if (run == target.runs.end())
    {
        return;
    }
    if (verdict == "stop")
    {
        run->second.is_stopping = true;
        queue_order(owner, event.target, {true, id});
    }
    if (verdict == "wanted" || (verdict == "stop" && !run->second.terms))
    {
        run->second.terms = verdict == "stop"
                                ? std::make_shared<const step_terms>()
                                : tasks_.at(event.task).terms;
    }
}

// As `job_coordinator::impl::apply_report`. The store takes an inferred end
// from the present owner of the rack only.
std::string simulation::judge(std::int64_t token, const run_event& event)
{
    sim_task& task = tasks_.at(event.task);
    const bool is_current = task.is_assigned && task.run == event.run;
    const bool is_cancelled = task.cancelled_at <= now_;
    if (event.what != run_event::kind::ended)
    {
        const bool is_seen = event.what == run_event::kind::seen;
        if (!is_current || is_cancelled)
        {
            return is_current || is_seen ? "stop" : "recorded";
        }
        task.confirmed_token = std::max(task.confirmed_token, token);
        return is_seen ? "wanted" : "recorded";
    }
    if (is_current &&
        (token < known_token_ || (event.number == 0 && token < token_)))
    {
        return "ignored";
    }
    if (is_current)
    {
        task.is_assigned = false;
        task.failures += event.how == run_end::failed ? 1 : 0;
        task.is_done =
            event.how == run_end::done ||
            (!options_.has_cancellings && task.failures >= max_attempts);
        if (event.how == run_end::not_started)
        {
            rack_state reporter;
            reporter.token = token;
            unstarted_[{event.task, event.run}] = order_token(reporter, {});
        }
    }
    return "recorded";
}

bool simulation::reaches_owner_of(const std::string& task) const
{
    const std::size_t share =
        std::hash<std::string>()(task) % job_owners_down_until_.size();
    return now_ >= job_owners_down_until_[share];
}

void simulation::submit()
{
    if (!options_.has_cancellings && now_ - begin_ >= submit_time)
    {
        return;
    }
    const time_point cancelled_at = options_.has_cancellings
                                        ? now_ + draw_ms(100, 6'000)
                                        : time_point::max();
    for (int n = draw(0, 3); n > 0; --n)
    {
        step_terms terms;
        terms.step = std::to_string(tasks_.size()) + ".0.0";
        terms.service = "svc";
        terms.size = {1'000, 100, 0};
        terms.is_long_running = options_.has_cancellings && draw(0, 1) == 0;
        if (!options_.has_cancellings)
        {
            terms.objective_ms = elapsed_ms(begin_, now_); // oldest first
        }
        sim_task& task = tasks_[terms.step + ".0"];
        task.name = terms.step + ".0";
        task.terms = std::make_shared<const step_terms>(terms);
        task.cancelled_at = cancelled_at;
    }
}

void simulation::send_messages()
{
    for (auto& [name, task] : tasks_)
    {
        const bool is_cancelled = task.cancelled_at <= now_;
        if (!task.is_assigned && !task.is_done && !is_cancelled)
        {
            task.is_assigned = true;
            ++task.run;
            task.deliveries = 0;
            task.confirmed_token = 0;
            task.sent_at = task.stop_sent_at = {};
        }
        time_point& last = is_cancelled ? task.stop_sent_at : task.sent_at;
        const bool is_confirmed =
            task.confirmed_token != 0 && task.confirmed_token >= known_token_;
        if (!task.is_assigned || (!is_cancelled && is_confirmed) ||
            (last != time_point{} && now_ - last < resend))
        {
            continue;
        }
        last = now_;
        queued_start start;
        start.task = name;
        start.run = task.run;
        start.terms = task.terms;
        start.is_repeated = task.deliveries > 0;
        task.deliveries += is_cancelled ? 0 : 1;
        if (trouble(15))
        {
            continue;
        }
        for (int copies = trouble(10) ? 2 : 1; copies > 0; --copies)
        {
            at(transit(), [this, token = known_token_, start, is_cancelled]
               { execute(token, start, is_cancelled); });
        }
    }
}

// As `rack_agent::execute`, with one start or stop.
void simulation::execute(std::int64_t token, queued_start start, bool is_stop)
{
    const auto found = owners_.find(token);
    if (found == owners_.end() || found->second->is_dropped ||
        found->second->rack.is_fenced)
    {
        return;
    }
    const owner_ptr owner = found->second;
    rack_state& rack = owner->rack;
    const run_id id{start.task, start.run};
    if (is_stop)
    {
        std::string target;
        report(owner, withdraw(rack, id, target));
        owner->stopped.insert(id);
        if (!target.empty())
        {
            queue_order(owner, target, {true, id});
        }
    }
    else
    {
        start.queued_at = now_;
        enqueue(rack, std::move(start));
    }
    report(owner, report_settled_stops(rack, now_));
    if (may_grant_now(owner))
    {
        place(owner);
    }
    if (!is_stop && !trouble(15))
    {
        at(transit(),
           [this, id, token]
           {
               sim_task& task = tasks_.at(id.first);
               if (task.run == id.second)
               {
                   task.confirmed_token = std::max(task.confirmed_token, token);
               }
           });
    }
}

} // namespace egretspindle::cancel_simulation
