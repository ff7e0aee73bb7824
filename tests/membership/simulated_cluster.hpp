/// \file
/// Members on a simulated network in virtual time.

#ifndef EGRETSPINDLE_TESTS_MEMBERSHIP_SIMULATED_CLUSTER_HPP
#define EGRETSPINDLE_TESTS_MEMBERSHIP_SIMULATED_CLUSTER_HPP

#include "egretspindle/codec/json.hpp"
#include "egretspindle/membership/membership_update.hpp"
#include "egretspindle/membership/membership_view.hpp"
#include "egretspindle/membership/probe_schedule.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace egretspindle::test
{

/// Runs the failure detectors of several hosts on one virtual clock. The
/// address of a host is its name; all random choices depend on the seed.
class simulated_cluster
{
public:
    explicit simulated_cluster(std::uint64_t seed) : seed_(seed), random_(seed)
    {
    }

    simulated_cluster(const simulated_cluster&) = delete;
    simulated_cluster& operator=(const simulated_cluster&) = delete;

    /// Adds a running host, or restarts a host of the same name.
    void add(membership_options options)
    {
        options.address = options.name;
        options.random_seed = ++seed_;
        if (options.incarnation == 0)
        {
            options.incarnation = 1000;
        }
        const std::string name = options.name;
        host& added = hosts_[name];
        added.is_running = true;
        added.is_paused = false;
        added.deferred_results.clear();
        added.state = make_membership_state(std::move(options), now_);
        const std::uint64_t tick_generation = ++added.tick_generation;
        schedule(random_delay(tick_), [this, name, tick_generation]
                 { tick(name, tick_generation); });
    }

    /// Adds `count` hosts of a data centre, which join through the host that
    /// was added first.
    void add_center(const std::string& data_center, int count,
                    membership_options options = {})
    {
        for (int n = 0; n < count; ++n)
        {
            options.name = data_center + "-" + std::to_string(100 + n);
            options.data_center = data_center;
            if (first_host_.empty())
            {
                first_host_ = options.name;
            }
            options.seeds = {first_host_};
            add(options);
        }
    }

    void kill(const std::string& name)
    {
        hosts_.at(name).is_running = false;
    }

    void pause(const std::string& name)
    {
        hosts_.at(name).is_paused = true;
    }

    void resume(const std::string& name)
    {
        host& resumed = hosts_.at(name);
        resumed.is_paused = false;
        for (const std::function<void()>& result :
             std::exchange(resumed.deferred_results,
                           std::vector<std::function<void()>>{}))
        {
            result();
        }
        const std::uint64_t tick_generation = ++resumed.tick_generation;
        schedule(tick_, [this, name, tick_generation]
                 { tick(name, tick_generation); });
    }

    /// Drops every message from one host to another, in this direction only.
    void block_link(const std::string& from, const std::string& to)
    {
        blocked_links_.insert({from, to});
    }

    void unblock_links()
    {
        blocked_links_.clear();
    }

    /// Sets the share of messages that are lost, from 0 to 1.
    void set_loss_rate(double share)
    {
        loss_rate_ = share;
    }

    void run_for(milliseconds time)
    {
        const time_point end = now_ + time;
        while (!events_.empty() && events_.top().at <= end)
        {
            const event next = events_.top();
            events_.pop();
            now_ = next.at;
            next.action();
        }
        now_ = end;
    }

    /// Runs until the condition holds.
    ///
    /// \returns false if it does not hold within the limit
    bool run_until(const std::function<bool()>& condition, milliseconds limit)
    {
        const time_point end = now_ + limit;
        while (now_ < end)
        {
            if (condition())
            {
                return true;
            }
            run_for(milliseconds(10));
        }
        return condition();
    }

    membership_state& state(const std::string& name)
    {
        return hosts_.at(name).state;
    }

    /// Returns the state of a host `name` as the host `by` shows it, or
    /// `absent` if it is not a member there.
    std::string shown_state(const std::string& by, const std::string& name)
    {
        const membership_state& view = state(by);
        const auto it = view.members.find(name);
        return it == view.members.end()
                   ? "absent"
                   : effective_digest(view, it->second, now_).state;
    }

    /// Returns whether every other running host shows this state of a host.
    bool all_show(const std::string& name, const std::string& expected)
    {
        for (const auto& [by, entry] : hosts_)
        {
            if (by != name && entry.is_running && !entry.is_paused &&
                shown_state(by, name) != expected)
            {
                return false;
            }
        }
        return true;
    }

    std::vector<std::string> names() const
    {
        std::vector<std::string> result;
        for (const auto& [name, entry] : hosts_)
        {
            result.push_back(name);
        }
        return result;
    }

    /// Returns whether all running hosts show each other as alive.
    bool is_complete()
    {
        for (const auto& [name, entry] : hosts_)
        {
            if (entry.is_running && !entry.is_paused &&
                !all_show(name, "alive"))
            {
                return false;
            }
        }
        return true;
    }

    time_point now() const
    {
        return now_;
    }

    /// Called with the sender, the receiver and each message.
    std::function<void(const std::string&, const std::string&,
                       const ping_message&)>
        on_message;
    milliseconds delay{1}; ///< shortest one-way delay; the longest is twice it
    /// Called once per probe period for the racks and plan version of a host.
    std::function<member_digest(const std::string&)> describe;

private:
    struct host
    {
        membership_state state;
        bool is_running = false;
        bool is_paused = false;
        /// Raised on a restart and on `resume`, so that ticks that were
        /// scheduled before are ignored.
        std::uint64_t tick_generation = 0;
        time_point next_describe;
        /// Results during a pause, delivered as timeouts on `resume`.
        std::vector<std::function<void()>> deferred_results;
    };

    struct event
    {
        time_point at;
        std::uint64_t order;
        std::function<void()> action;

        bool operator<(const event& other) const
        {
            return std::tie(other.at, other.order) < std::tie(at, order);
        }
    };

    void schedule(milliseconds time, std::function<void()> action)
    {
        events_.push({now_ + time, ++event_count_, std::move(action)});
    }

    milliseconds random_delay(milliseconds limit)
    {
        std::uniform_int_distribution<std::int64_t> delay_ms(0, limit.count());
        return milliseconds(delay_ms(random_));
    }

    bool is_delivered(const std::string& from, const std::string& to)
    {
        std::uniform_real_distribution<double> share(0, 1);
        const auto it = hosts_.find(to);
        return it != hosts_.end() && it->second.is_running &&
               blocked_links_.count({from, to}) == 0 &&
               share(random_) >= loss_rate_;
    }

    void tick(const std::string& name, std::uint64_t tick_generation)
    {
        host& ticking = hosts_.at(name);
        if (!ticking.is_running || ticking.is_paused ||
            ticking.tick_generation != tick_generation)
        {
            return;
        }
        if (now_ >= ticking.next_describe)
        {
            ticking.next_describe = now_ + ticking.state.options.probe_period;
            update_self(ticking.state,
                        describe ? describe(name) : member_digest{});
        }
        for (const probe_action& action : advance(ticking.state, now_))
        {
            send(name, action);
        }
        schedule(tick_, [this, name, tick_generation]
                 { tick(name, tick_generation); });
    }

    /// Sends a request; `finish` gets the reply, or null after the timeout.
    void send_request(const std::string& from, const probe_action& action,
                      std::function<void(const ping_message*)> finish)
    {
        if (on_message)
        {
            on_message(from, action.address, action.message);
        }
        const auto is_done = std::make_shared<bool>(false);
        const auto on_result =
            [this, from, is_done,
             finish = std::move(finish)](const ping_message* reply)
        {
            host& sender = hosts_.at(from);
            if (*is_done || !sender.is_running)
            {
                return;
            }
            *is_done = true;
            if (sender.is_paused)
            {
                sender.deferred_results.push_back([finish]
                                                  { finish(nullptr); });
                return;
            }
            finish(reply);
        };
        schedule(action.timeout, [on_result] { on_result(nullptr); });
        if (!is_delivered(from, action.address))
        {
            return;
        }
        schedule(delay + random_delay(delay),
                 [this, from, action, on_result]
                 {
                     host& receiver = hosts_.at(action.address);
                     if (!receiver.is_running || receiver.is_paused)
                     {
                         return;
                     }
                     if (action.kind == probe_kind::indirect)
                     {
                         relay_ping(from, action, on_result);
                         return;
                     }
                     send_reply(from, action, on_result);
                 });
    }

    void send_reply(const std::string& from, const probe_action& action,
                    const std::function<void(const ping_message*)>& on_result)
    {
        const std::string by = action.address;
        const ping_message reply =
            answer_ping(hosts_.at(by).state, from, action.message, now_);
        if (on_message)
        {
            on_message(by, from, reply);
        }
        if (is_delivered(by, from))
        {
            schedule(delay + random_delay(delay),
                     [on_result, reply] { on_result(&reply); });
        }
    }

    void relay_ping(const std::string& from, const probe_action& action,
                    const std::function<void(const ping_message*)>& on_result)
    {
        membership_state& helper = hosts_.at(action.address).state;
        merge_message(helper, action.message, now_);
        const probe_action probe =
            make_relayed_probe(helper, action.message, now_);
        if (probe.address.empty())
        {
            return;
        }
        send_request(
            action.address, probe,
            [this, from, action, probe, on_result](const ping_message* reply)
            {
                if (reply != nullptr)
                {
                    handle_probe_reply(hosts_.at(action.address).state, probe,
                                       *reply, now_);
                    send_reply(from, action, on_result);
                }
            });
    }

    void send(const std::string& from, const probe_action& action)
    {
        send_request(from, action,
                     [this, from, action](const ping_message* reply)
                     {
                         membership_state& sender = hosts_.at(from).state;
                         if (reply != nullptr)
                         {
                             handle_probe_reply(sender, action, *reply, now_);
                             return;
                         }
                         for (const probe_action& next :
                              handle_probe_failure(sender, action, now_))
                         {
                             send(from, next);
                         }
                     });
    }

    const milliseconds tick_{50};
    std::uint64_t seed_;
    std::mt19937_64 random_;
    time_point now_{std::chrono::hours(1)};
    std::uint64_t event_count_ = 0;
    std::priority_queue<event> events_;
    std::map<std::string, host> hosts_;
    std::set<std::pair<std::string, std::string>> blocked_links_;
    std::string first_host_;
    double loss_rate_ = 0;
};

} // namespace egretspindle::test

#endif
