#include "egretspindle/scheduler/rack_agent.hpp"

#include "egretspindle/logging/log.hpp"
#include "egretspindle/rack/interference.hpp"
#include "egretspindle/rack/rack_decision.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>

namespace egretspindle
{

namespace
{

/// Order that waits to be sent to a target.
struct pending_order
{
    enum class kind
    {
        start,
        stop,
        pace,
    };

    kind what = kind::start;
    run_id id;
    std::int64_t percent = 100;
    bool was_unanswered = false; ///< an earlier copy may be carried out later
};

/// Threads and queue of one target.
struct target_channel
{
    std::string rack;
    std::string target;
    std::int64_t token = 0;
    bool is_stopping = false;
    bool has_contact = false; ///< the last poll was answered
    int failed_polls = 0;     ///< in a row
    std::deque<pending_order> orders;
    std::condition_variable has_orders;
    std::condition_variable has_acks;
    std::thread poller;
    std::thread sender;
    int running = 2; ///< threads that have not returned
};

using channel_ptr = std::shared_ptr<target_channel>;

std::string_view name_of(run_event::kind what)
{
    switch (what)
    {
    case run_event::kind::started:
        return "started";
    case run_event::kind::ended:
        return "ended";
    case run_event::kind::seen:
        break;
    }
    return "seen";
}

std::string_view name_of(order_verdict verdict)
{
    switch (verdict)
    {
    case order_verdict::taken:
        return "taken";
    case order_verdict::wrong_token:
        return "wrong_token";
    case order_verdict::old_run:
        return "old_run";
    case order_verdict::too_late:
        return "too_late";
    case order_verdict::no_room:
        return "no_room";
    case order_verdict::no_permission:
        return "no_permission";
    case order_verdict::other_life:
        return "other_life";
    case order_verdict::unhealthy:
        return "unhealthy";
    case order_verdict::malformed:
        break;
    }
    return "malformed";
}

std::vector<run_report> to_reports(const std::string& rack, std::int64_t token,
                                   const std::vector<run_event>& events)
{
    std::vector<run_report> reports;
    reports.reserve(events.size());
    for (const run_event& event : events)
    {
        run_report item;
        item.what = std::string(name_of(event.what));
        item.task = event.task;
        item.run = event.run;
        item.how = std::string(to_string(event.how));
        item.checkpoint = event.checkpoint;
        item.target = event.target;
        item.rack = rack;
        item.token = token;
        item.number = event.number;
        reports.push_back(std::move(item));
    }
    return reports;
}

} // namespace

struct rack_agent::impl
{
    impl(target_port& port, rack_agent_hooks callbacks,
         const rack_agent_limits& bounds)
        : targets(port), hooks(std::move(callbacks)), limits(bounds)
    {
    }

    rack_state* find_rack(const std::string& name);
    rack_target* find_target(const target_channel& session);
    void open_session(const std::string& rack, const std::string& target,
                      std::int64_t token);
    void close_sessions(const std::string& rack,
                        std::vector<channel_ptr>& closed);
    void sync_targets(rack_state& rack);
    void place(rack_state& rack);
    void push(const std::string& target, pending_order order);
    void note_return(target_channel& session);
    std::vector<channel_ptr> take_finished();
    void finish(const std::vector<channel_ptr>& closed);

    void poll_loop(const channel_ptr& session);
    bool poll_once(const channel_ptr& session);
    void apply_answer(const channel_ptr& session, const poll_answer& answer,
                      time_point sent_at);
    void send_loop(const channel_ptr& session);
    void send(const channel_ptr& session, pending_order order);
    bool prepare_start(const channel_ptr& session, const pending_order& order,
                       start_run& message, target_entry& entry);
    void fence_start(const target_channel& session, rack_target& target,
                     const run_id& id);
    void take_answer(const channel_ptr& session, const pending_order& order,
                     const order_answer& answer);
    void send_start(const channel_ptr& session, pending_order order);
    void send_stop(const channel_ptr& session, pending_order order);
    void send_pace(const channel_ptr& session, const pending_order& order);
    void retry(const channel_ptr& session, pending_order order,
               bool was_unanswered);
    void fence(const target_channel& session);
    void confirm_repeated();
    void publish(const std::string& rack, std::int64_t token,
                 const std::vector<run_event>& events);

    target_port& targets;
    rack_agent_hooks hooks;
    rack_agent_limits limits;
    mutable std::mutex mutex;
    std::map<std::string, rack_state> racks;
    std::map<std::string, channel_ptr> sessions; ///< by target
    std::map<std::string, target_entry> entries; ///< as listed last
    std::map<std::string, std::pair<target_entry, time_point>> departed;
    std::vector<channel_ptr> retired; ///< threads that are ending
    pressure_model model;
    bool is_stopping = false;
};

// --- racks and sessions ----------------------------------------------------

rack_state* rack_agent::impl::find_rack(const std::string& name)
{
    const auto it = racks.find(name);
    return it == racks.end() ? nullptr : &it->second;
}

rack_target* rack_agent::impl::find_target(const target_channel& session)
{
    rack_state* rack = find_rack(session.rack);
    if (session.is_stopping || rack == nullptr || rack->token != session.token)
    {
        return nullptr;
    }
    const auto it = rack->targets.find(session.target);
    return it == rack->targets.end() ? nullptr : &it->second;
}

void rack_agent::impl::open_session(const std::string& rack,
                                    const std::string& target,
                                    std::int64_t token)
{
    channel_ptr session = std::make_shared<target_channel>();
    session->rack = rack;
    session->target = target;
    session->token = token;
    sessions[target] = session;
    session->poller = std::thread(
        [this, session]
        {
            poll_loop(session);
            note_return(*session);
        });
    session->sender = std::thread(
        [this, session]
        {
            send_loop(session);
            note_return(*session);
        });
}

void rack_agent::impl::close_sessions(const std::string& rack,
                                      std::vector<channel_ptr>& closed)
{
    for (auto it = sessions.begin(); it != sessions.end();)
    {
        const channel_ptr session = it->second;
        if (session->rack != rack)
        {
            ++it;
            continue;
        }
        session->is_stopping = true;
        session->has_orders.notify_all();
        session->has_acks.notify_all();
        closed.push_back(session);
        it = sessions.erase(it);
    }
}

void rack_agent::impl::note_return(target_channel& session)
{
    const std::lock_guard<std::mutex> lock(mutex);
    --session.running;
}

// Takes closed sessions out whose threads have returned. The others may still
// wait for a target, which must not hold up the caller.
std::vector<channel_ptr> rack_agent::impl::take_finished()
{
    const auto finished = std::partition(retired.begin(), retired.end(),
                                         [](const channel_ptr& session)
                                         { return session->running > 0; });
    std::vector<channel_ptr> taken(finished, retired.end());
    retired.erase(finished, retired.end());
    return taken;
}

// Joins the threads of closed sessions without the lock.
void rack_agent::impl::finish(const std::vector<channel_ptr>& closed)
{
    for (const channel_ptr& session : closed)
    {
        for (std::thread* item : {&session->poller, &session->sender})
        {
            if (item->joinable() &&
                item->get_id() != std::this_thread::get_id())
            {
                item->join();
            }
        }
    }
}

void rack_agent::impl::sync_targets(rack_state& rack)
{
    for (auto& [id, target] : rack.targets)
    {
        const auto it = entries.find(id);
        target.is_listed = it != entries.end() && it->second.rack == rack.name;
        if (target.is_listed)
        {
            target.entry = it->second;
        }
    }
    for (const auto& [id, entry] : entries)
    {
        if (entry.rack == rack.name && rack.targets.count(id) == 0)
        {
            rack_target target;
            target.entry = entry;
            rack.targets.emplace(id, std::move(target));
        }
    }
    for (const auto& [id, target] : rack.targets)
    {
        if (sessions.count(id) == 0)
        {
            open_session(rack.name, id, rack.token);
        }
    }
    for (auto it = sessions.begin(); it != sessions.end();)
    {
        const channel_ptr session = it->second;
        if (session->rack == rack.name &&
            rack.targets.count(session->target) == 0)
        {
            session->is_stopping = true;
            session->has_orders.notify_all();
            session->has_acks.notify_all();
            retired.push_back(session);
            it = sessions.erase(it);
        }
        else
        {
            ++it;
        }
    }
}

void rack_agent::impl::push(const std::string& target, pending_order order)
{
    const auto it = sessions.find(target);
    if (it != sessions.end())
    {
        it->second->orders.push_back(std::move(order));
        it->second->has_orders.notify_one();
    }
}

void rack_agent::impl::place(rack_state& rack)
{
    for (const placement& item :
         place_starts(rack, model, steady_clock::now(), unix_ms()))
    {
        pending_order order;
        order.id = {item.start.task, item.start.run};
        push(item.target, order);
        log_info("start placed",
                 {{"task", item.start.task},
                  {"run", item.start.run},
                  {"rack", rack.name},
                  {"target", item.target},
                  {"priority", item.start.terms->priority},
                  {"queued", rack.queue.size()},
                  {"waited_ms",
                   elapsed_ms(item.start.queued_at, steady_clock::now())}});
    }
}

void rack_agent::impl::publish(const std::string& rack, std::int64_t token,
                               const std::vector<run_event>& events)
{
    if (!events.empty())
    {
        hooks.report(to_reports(rack, token, events));
    }
}

// --- polls -----------------------------------------------------------------

void rack_agent::impl::poll_loop(const channel_ptr& session)
{
    for (;;)
    {
        const bool is_answered = poll_once(session);
        std::unique_lock<std::mutex> lock(mutex);
        rack_target* target = find_target(*session);
        if (target == nullptr)
        {
            return;
        }
        if (!is_answered)
        {
            session->has_acks.wait_for(lock, limits.poll_retry,
                                       [&] { return session->is_stopping; });
        }
        else if (!target->ends.empty())
        {
            // The target answers at once while ends are not acknowledged.
            const std::int64_t before = target->acknowledged;
            session->has_acks.wait_for(
                lock, limits.ack_wait,
                [&]
                {
                    const rack_target* current = find_target(*session);
                    return current == nullptr ||
                           current->acknowledged != before;
                });
        }
    }
}

bool rack_agent::impl::poll_once(const channel_ptr& session)
{
    poll_target order;
    target_entry entry;
    time_point sent_at;
    {
        const std::lock_guard<std::mutex> lock(mutex);
        rack_target* target = find_target(*session);
        if (target == nullptr)
        {
            return true;
        }
        sent_at = steady_clock::now();
        entry = target->entry;
        order.token = session->token;
        order.acknowledged = target->acknowledged;
        if (session->has_contact)
        {
            order.lease_until_ms = extend_lease(*target, limits.lease, sent_at);
            bool is_serving = false;
            bool is_filling = false;
            for (const auto& [id, run] : target->runs)
            {
                is_serving |= run.terms && run.terms->response_target_ms > 0;
                is_filling |= run.terms && run.terms->uses_idle_cpu;
            }
            order.wait = is_serving && is_filling ? limits.mixed_poll_wait
                                                  : limits.poll_wait;
        }
    }
    const absl::StatusOr<poll_answer> answer =
        targets.poll(entry, order, limits.poll_timeout);
    if (answer.ok() && answer->verdict == order_verdict::taken)
    {
        apply_answer(session, *answer, sent_at);
        return true;
    }
    const bool is_refused =
        answer.ok() && answer->verdict == order_verdict::wrong_token;
    {
        const std::lock_guard<std::mutex> lock(mutex);
        if (session->has_contact || session->failed_polls == 0)
        {
            log_warning(
                "target did not answer a poll",
                {{"target", session->target},
                 {"rack", session->rack},
                 {"cause", answer.ok()
                               ? std::string(name_of(answer->verdict))
                               : std::string(answer.status().message())}});
        }
        session->has_contact = false;
        ++session->failed_polls;
        if (rack_target* target = find_target(*session))
        {
            target->avoid_until = steady_clock::now() + limits.poll_timeout;
        }
    }
    if (is_refused)
    {
        fence(*session);
    }
    return false;
}

void rack_agent::impl::apply_answer(const channel_ptr& session,
                                    const poll_answer& answer,
                                    time_point sent_at)
{
    std::vector<run_event> events;
    {
        const std::lock_guard<std::mutex> lock(mutex);
        rack_target* target = find_target(*session);
        if (target == nullptr)
        {
            return;
        }
        const time_point now = steady_clock::now();
        const bool is_reborn =
            target->started_ms != 0 && target->started_ms != answer.started_ms;
        if (is_reborn || !session->has_contact)
        {
            log_info("target answers", {{"target", session->target},
                                        {"rack", session->rack},
                                        {"restarted", is_reborn},
                                        {"runs", answer.runs.size()},
                                        {"ends", answer.ends.size()}});
        }
        if (!session->has_contact)
        {
            target->avoid_until = now;
        }
        session->has_contact = true;
        session->failed_polls = 0;
        rack_state& rack = *find_rack(session->rack);
        events = apply_poll(rack, *target, answer, sent_at, now);
        note_clock(*target, answer.clock_ms, limits.lease, now);
        for (const run_id& id : decide_evictions(*target, now))
        {
            log_info("run evicted", {{"task", id.first},
                                     {"run", id.second},
                                     {"target", session->target},
                                     {"reason", "slowed for a serving task"}});
        }
        for (const auto& [id, run] : target->runs)
        {
            if (run.is_stopping)
            {
                const bool is_pending = std::any_of(
                    session->orders.begin(), session->orders.end(),
                    [&id = id](const pending_order& order) {
                        return order.what == pending_order::kind::stop &&
                               order.id == id;
                    });
                if (!is_pending)
                {
                    pending_order order;
                    order.what = pending_order::kind::stop;
                    order.id = id;
                    push(session->target, order);
                }
            }
        }
        observe_target(*target, model, now);
        for (const pace_change& change : decide_pace(*target, model, now))
        {
            pending_order order;
            order.what = pending_order::kind::pace;
            order.id = {change.task, change.run};
            order.percent = change.percent;
            push(session->target, order);
        }
        place(rack);
    }
    publish(session->rack, session->token, events);
}

// --- orders ----------------------------------------------------------------

// Nothing may be concluded about the rack from now on, and nothing sent.
void rack_agent::impl::fence(const target_channel& session)
{
    {
        const std::lock_guard<std::mutex> lock(mutex);
        rack_state* rack = find_rack(session.rack);
        if (rack == nullptr || rack->token != session.token || rack->is_fenced)
        {
            return;
        }
        rack->is_fenced = true;
        log_info("rack is owned by another host",
                 {{"rack", session.rack}, {"target", session.target}});
    }
    hooks.lost(session.rack);
}

void rack_agent::impl::send_loop(const channel_ptr& session)
{
    std::unique_lock<std::mutex> lock(mutex);
    for (;;)
    {
        session->has_orders.wait(
            lock,
            [&] { return session->is_stopping || !session->orders.empty(); });
        if (session->is_stopping)
        {
            return;
        }
        pending_order order = std::move(session->orders.front());
        session->orders.pop_front();
        lock.unlock();
        send(session, std::move(order));
        lock.lock();
    }
}

void rack_agent::impl::send(const channel_ptr& session, pending_order order)
{
    switch (order.what)
    {
    case pending_order::kind::start:
        send_start(session, std::move(order));
        break;
    case pending_order::kind::stop:
        send_stop(session, std::move(order));
        break;
    case pending_order::kind::pace:
        send_pace(session, order);
        break;
    }
}

void rack_agent::impl::retry(const channel_ptr& session, pending_order order,
                             bool was_unanswered)
{
    order.was_unanswered |= was_unanswered;
    std::unique_lock<std::mutex> lock(mutex);
    session->has_orders.wait_for(lock, limits.order_retry,
                                 [&] { return session->is_stopping; });
    if (!session->is_stopping)
    {
        session->orders.push_back(std::move(order));
    }
}

// Makes the message of a start; false when it is not to be sent any more.
bool rack_agent::impl::prepare_start(const channel_ptr& session,
                                     const pending_order& order,
                                     start_run& message, target_entry& entry)
{
    const std::lock_guard<std::mutex> lock(mutex);
    rack_target* target = find_target(*session);
    if (target == nullptr)
    {
        return false;
    }
    const auto it = target->runs.find(order.id);
    if (it == target->runs.end() || it->second.is_taken || !it->second.terms ||
        (it->second.is_stopping && order.was_unanswered))
    {
        return false;
    }
    entry = target->entry;
    message.task = order.id.first;
    message.run = order.id.second;
    message.text = it->second.terms->text;
    message.checkpoint = it->second.checkpoint;
    message.token = session->token;
    // A target that does not answer gets no longer lease, so that its runs are
    // certain to end.
    message.lease_until_ms =
        session->has_contact && !order.was_unanswered
            ? extend_lease(*target, limits.lease, steady_clock::now())
            : target->lease_until_ms;
    return true;
}

// An unanswered copy of a refused start may still be carried out; a stop rules
// that out before the run can go elsewhere.
void rack_agent::impl::fence_start(const target_channel& session,
                                   rack_target& target, const run_id& id)
{
    const auto it = target.runs.find(id);
    if (it != target.runs.end())
    {
        it->second.is_stopping = true;
        pending_order fence_order;
        fence_order.what = pending_order::kind::stop;
        fence_order.id = id;
        push(session.target, fence_order);
    }
}

void rack_agent::impl::take_answer(const channel_ptr& session,
                                   const pending_order& order,
                                   const order_answer& answer)
{
    const bool is_refused = answer.verdict != order_verdict::taken &&
                            answer.verdict != order_verdict::old_run;
    if (is_refused)
    {
        log_info("start was refused", {{"task", order.id.first},
                                       {"run", order.id.second},
                                       {"target", session->target},
                                       {"verdict", name_of(answer.verdict)}});
    }
    if (answer.verdict == order_verdict::wrong_token)
    {
        fence(*session);
        return;
    }
    std::vector<run_event> events;
    {
        const std::lock_guard<std::mutex> lock(mutex);
        rack_target* target = find_target(*session);
        if (target == nullptr)
        {
            return;
        }
        const time_point now = steady_clock::now();
        note_clock(*target, answer.clock_ms, limits.lease, now);
        if (is_refused && order.was_unanswered)
        {
            fence_start(*session, *target, order.id);
            return;
        }
        rack_state& rack = *find_rack(session->rack);
        events = apply_start(rack, *target, order.id, answer.verdict, now);
        if (is_refused)
        {
            place(rack);
        }
    }
    publish(session->rack, session->token, events);
}

void rack_agent::impl::send_start(const channel_ptr& session,
                                  pending_order order)
{
    start_run message;
    target_entry entry;
    if (!prepare_start(session, order, message, entry))
    {
        return;
    }
    const absl::StatusOr<order_answer> answer =
        targets.start(entry, message, limits.order_timeout);
    if (answer.ok() && answer->verdict != order_verdict::too_late)
    {
        take_answer(session, order, *answer);
        return;
    }
    log_warning(
        "start was not answered",
        {{"task", message.task},
         {"run", message.run},
         {"target", session->target},
         {"cause", answer.ok() ? std::string(name_of(answer->verdict))
                               : std::string(answer.status().message())}});
    retry(session, std::move(order), !answer.ok());
}

void rack_agent::impl::send_stop(const channel_ptr& session,
                                 pending_order order)
{
    stop_run message;
    target_entry entry;
    {
        const std::lock_guard<std::mutex> lock(mutex);
        rack_target* target = find_target(*session);
        if (target == nullptr || target->runs.count(order.id) == 0)
        {
            return;
        }
        entry = target->entry;
        message.task = order.id.first;
        message.run = order.id.second;
        message.token = session->token;
    }
    const absl::StatusOr<order_answer> answer =
        targets.stop(entry, message, limits.order_timeout);
    if (!answer.ok())
    {
        log_warning("stop was not answered",
                    {{"task", message.task},
                     {"run", message.run},
                     {"target", session->target},
                     {"cause", std::string(answer.status().message())}});
        retry(session, std::move(order), true);
        return;
    }
    if (answer->verdict == order_verdict::wrong_token)
    {
        fence(*session);
        return;
    }
    const std::lock_guard<std::mutex> lock(mutex);
    rack_target* target = find_target(*session);
    const auto it = target == nullptr ? std::map<run_id, placed_run>::iterator{}
                                      : target->runs.find(order.id);
    if (target != nullptr && it != target->runs.end() && !it->second.is_taken)
    {
        // From now on it is either listed or will never start.
        it->second.is_taken = true;
        it->second.taken_at = steady_clock::now();
    }
}

void rack_agent::impl::send_pace(const channel_ptr& session,
                                 const pending_order& order)
{
    pace_run message;
    target_entry entry;
    {
        const std::lock_guard<std::mutex> lock(mutex);
        rack_target* target = find_target(*session);
        if (target == nullptr || target->runs.count(order.id) == 0)
        {
            return;
        }
        entry = target->entry;
        message.task = order.id.first;
        message.run = order.id.second;
        message.percent = order.percent;
        message.token = session->token;
    }
    const absl::StatusOr<order_answer> answer =
        targets.pace(entry, message, limits.order_timeout);
    if (!answer.ok())
    {
        log_warning("pace was not answered",
                    {{"task", message.task},
                     {"target", session->target},
                     {"cause", std::string(answer.status().message())}});
    }
}

// --- public interface ------------------------------------------------------

rack_agent::rack_agent(target_port& targets, rack_agent_hooks hooks,
                       const rack_agent_limits& limits)
    : impl_(std::make_unique<impl>(targets, std::move(hooks), limits))
{
}

rack_agent::~rack_agent()
{
    stop();
}

void rack_agent::stop()
{
    std::vector<channel_ptr> closed;
    {
        const std::lock_guard<std::mutex> lock(impl_->mutex);
        impl_->is_stopping = true;
        for (const auto& [name, rack] : impl_->racks)
        {
            impl_->close_sessions(name, closed);
        }
        closed.insert(closed.end(), impl_->retired.begin(),
                      impl_->retired.end());
        impl_->retired.clear();
        impl_->racks.clear();
    }
    impl_->finish(closed);
}

void rack_agent::take_rack(const rack_takeover& takeover)
{
    {
        const std::lock_guard<std::mutex> lock(impl_->mutex);
        const rack_state* known = impl_->find_rack(takeover.rack);
        if (impl_->is_stopping ||
            (known != nullptr && known->token == takeover.token))
        {
            return;
        }
        impl_->close_sessions(takeover.rack, impl_->retired);
        const time_point now = steady_clock::now();
        const lease_limits& lease = impl_->limits.lease;
        rack_state rack;
        rack.name = takeover.rack;
        rack.token = takeover.token;
        rack.taken_over_at = now;
        rack.knows_all_targets = takeover.knows_all_targets;
        // Former owners grant the same lease, from polls that they sent before
        // they knew of this takeover.
        rack.unknown_until =
            now + lease.expiry_slack +
            milliseconds(static_cast<std::int64_t>(
                static_cast<double>(lease.lease.count()) /
                (1.0 - lease.clock_drift))) +
            (takeover.is_former_alive ? impl_->limits.former_owner
                                      : milliseconds(0));
        for (const auto& [id, item] : impl_->departed)
        {
            const bool may_run_on = now - item.second < lease.longest * 2;
            if (item.first.rack == takeover.rack && may_run_on)
            {
                rack_target target;
                target.entry = item.first;
                target.is_listed = false;
                rack.targets.emplace(id, std::move(target));
            }
        }
        rack_state& stored = impl_->racks[takeover.rack] = std::move(rack);
        impl_->sync_targets(stored);
        log_info("rack taken over",
                 {{"rack", takeover.rack},
                  {"owner_version", takeover.token},
                  {"former_owner_alive", takeover.is_former_alive},
                  {"targets", stored.targets.size()}});
    }
}

void rack_agent::verify_rack(const std::string& rack, std::int64_t token,
                             time_point read_at)
{
    const std::lock_guard<std::mutex> lock(impl_->mutex);
    rack_state* known = impl_->find_rack(rack);
    if (known != nullptr && known->token == token)
    {
        known->verified_at = std::max(known->verified_at, read_at);
    }
}

void rack_agent::drop_rack(const std::string& rack)
{
    const std::lock_guard<std::mutex> lock(impl_->mutex);
    if (impl_->racks.erase(rack) == 0)
    {
        return;
    }
    impl_->close_sessions(rack, impl_->retired);
    log_info("rack lost", {{"rack", rack}});
}

void rack_agent::set_targets(const std::map<std::string, target_entry>& targets)
{
    const std::lock_guard<std::mutex> lock(impl_->mutex);
    const time_point now = steady_clock::now();
    for (const auto& [id, entry] : impl_->entries)
    {
        if (targets.count(id) == 0)
        {
            impl_->departed[id] = {entry, now};
        }
    }
    for (auto it = impl_->departed.begin(); it != impl_->departed.end();)
    {
        const bool is_forgotten =
            targets.count(it->first) > 0 ||
            now - it->second.second > impl_->limits.lease.longest * 2;
        it = is_forgotten ? impl_->departed.erase(it) : std::next(it);
    }
    impl_->entries = targets;
    for (auto& [name, rack] : impl_->racks)
    {
        impl_->sync_targets(rack);
        impl_->place(rack);
    }
}

rack_orders_reply rack_agent::execute(const rack_orders& orders)
{
    std::vector<run_event> events;
    rack_orders_reply reply;
    {
        const std::lock_guard<std::mutex> lock(impl_->mutex);
        rack_state* rack = impl_->find_rack(orders.rack);
        if (rack == nullptr || rack->is_fenced || rack->token != orders.token)
        {
            return reply;
        }
        reply.is_owner = true;
        reply.token = rack->token;
        const time_point now = steady_clock::now();
        for (const start_batch& batch : orders.starts)
        {
            const auto terms = std::make_shared<const step_terms>(batch.terms);
            for (const step_run& run : batch.runs)
            {
                queued_start start;
                start.task = fmt::format("{}.{}", batch.terms.step, run.index);
                start.run = run.run;
                start.checkpoint = run.checkpoint;
                start.terms = terms;
                start.queued_at = now;
                start.is_repeated = run.is_repeated;
                enqueue(*rack, std::move(start));
            }
        }
        for (const run_name& name : orders.stops)
        {
            std::string target;
            const std::vector<run_event> ended =
                withdraw(*rack, {name.task, name.run}, target);
            events.insert(events.end(), ended.begin(), ended.end());
            if (!target.empty())
            {
                pending_order order;
                order.what = pending_order::kind::stop;
                order.id = {name.task, name.run};
                impl_->push(target, order);
            }
        }
        const std::vector<run_event> settled = settle_stops(*rack, now);
        events.insert(events.end(), settled.begin(), settled.end());
        impl_->place(*rack);
    }
    impl_->publish(orders.rack, reply.token, events);
    return reply;
}

void rack_agent::settle(const std::vector<run_report>& reports,
                        const report_reply& reply)
{
    const std::lock_guard<std::mutex> lock(impl_->mutex);
    for (std::size_t n = 0; n < reports.size() && n < reply.verdicts.size();
         ++n)
    {
        const run_report& report = reports[n];
        const report_verdict& verdict = reply.verdicts[n];
        rack_state* rack = impl_->find_rack(report.rack);
        if (rack == nullptr)
        {
            continue;
        }
        const auto target = rack->targets.find(report.target);
        if (target == rack->targets.end())
        {
            continue;
        }
        if (report.number > 0 && verdict.verdict == "recorded")
        {
            acknowledge(target->second, report.number);
            const auto session = impl_->sessions.find(report.target);
            if (session != impl_->sessions.end())
            {
                session->second->has_acks.notify_all();
            }
        }
        const run_id id{report.task, report.run};
        const auto run = target->second.runs.find(id);
        if (run == target->second.runs.end())
        {
            continue;
        }
        if (verdict.verdict == "stop")
        {
            run->second.is_stopping = true;
            pending_order order;
            order.what = pending_order::kind::stop;
            order.id = id;
            impl_->push(report.target, order);
        }
        if (verdict.verdict == "wanted")
        {
            run->second.terms =
                std::make_shared<const step_terms>(verdict.terms);
            impl_->place(*rack);
        }
        if (verdict.verdict == "stop" && !run->second.terms)
        {
            // Its size is not known; it is ending, and targets refuse what
            // does not fit.
            run->second.terms = std::make_shared<const step_terms>();
        }
    }
}

// Looks up repeated starts of runs that are known to be on no target. A former
// owner of the job may have sent them, after the run had ended.
void rack_agent::impl::confirm_repeated()
{
    std::vector<std::pair<std::string, run_id>> unconfirmed;
    {
        const std::lock_guard<std::mutex> lock(mutex);
        const time_point now = steady_clock::now();
        for (const auto& [name, rack] : racks)
        {
            if (rack.is_fenced || !is_settled(rack, now))
            {
                continue;
            }
            for (const queued_start& start : rack.queue)
            {
                if (start.is_repeated &&
                    unconfirmed.size() < limits.most_lookups)
                {
                    unconfirmed.push_back({name, {start.task, start.run}});
                }
            }
        }
    }
    for (const auto& [name, id] : unconfirmed)
    {
        const std::optional<bool> is_recorded = hooks.is_recorded(id, name);
        if (!is_recorded)
        {
            return; // the store does not answer; the next tick tries again
        }
        log_info("repeated start was looked up", {{"task", id.first},
                                                  {"run", id.second},
                                                  {"rack", name},
                                                  {"recorded", *is_recorded}});
        const std::lock_guard<std::mutex> lock(mutex);
        if (rack_state* rack = find_rack(name))
        {
            resolve_repeated(*rack, id, *is_recorded);
        }
    }
}

void rack_agent::tick()
{
    impl_->confirm_repeated();
    std::map<std::string, std::vector<run_event>> events;
    std::map<std::string, std::int64_t> tokens;
    std::vector<channel_ptr> ended;
    {
        const std::lock_guard<std::mutex> lock(impl_->mutex);
        const time_point now = steady_clock::now();
        merge_pressures(impl_->model);
        for (auto& [name, rack] : impl_->racks)
        {
            std::vector<run_event>& list = events[name];
            tokens[name] = rack.token;
            list = expire_leases(rack, now);
            forget_ends(rack, now);
            const std::vector<run_event> settled = settle_stops(rack, now);
            list.insert(list.end(), settled.begin(), settled.end());
            impl_->sync_targets(rack);
            impl_->place(rack);
            const std::vector<run_event> returned = hand_back(
                rack, impl_->limits.queue_patience,
                [&, &rack_name = name](const step_terms& terms)
                { return impl_->hooks.has_room_elsewhere(terms, rack_name); },
                now);
            list.insert(list.end(), returned.begin(), returned.end());
        }
        ended = impl_->take_finished();
    }
    for (const auto& [name, list] : events)
    {
        impl_->publish(name, tokens[name], list);
    }
    impl_->finish(ended);
}

std::vector<pair_pressure> rack_agent::pressures() const
{
    const std::lock_guard<std::mutex> lock(impl_->mutex);
    return learned_pressures(impl_->model);
}

void rack_agent::set_other_pressures(const std::string& host,
                                     std::vector<pair_pressure> pressures)
{
    const std::lock_guard<std::mutex> lock(impl_->mutex);
    impl_->model.others[host] = std::move(pressures);
}

std::vector<rack_room> rack_agent::measure() const
{
    std::vector<rack_room> rooms;
    const std::lock_guard<std::mutex> lock(impl_->mutex);
    const time_point now = steady_clock::now();
    for (const auto& [name, rack] : impl_->racks)
    {
        if (rack.is_fenced)
        {
            continue;
        }
        rooms.push_back(measure_room(rack, impl_->model, now));
    }
    return rooms;
}

} // namespace egretspindle
