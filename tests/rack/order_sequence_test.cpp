#include "egretspindle/rack/order_sequence.hpp"
#include "egretspindle/rack/rack_decision.hpp"

#include <catch2/catch.hpp>

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>

using namespace egretspindle;

namespace
{

constexpr time_point start_time{std::chrono::hours(1)};
constexpr milliseconds start_timeout{600};
constexpr milliseconds poll_timeout{2'500};
constexpr milliseconds busy_period{4'000}; ///< followed by one of few starts

/// Target that restarts under its id. Runs end as soon as they start.
struct simulated_target
{
    std::int64_t started_ms = 1;
    time_point booted_at = start_time - std::chrono::minutes(1);
    std::int64_t fence = 0;
    std::int64_t end_count = 0;
    std::map<std::int64_t, listed_end> ends; ///< not acknowledged, by number
    std::set<std::pair<std::int64_t, std::int64_t>>
        read_ends; ///< by boot and number, in answers that arrived
    int acknowledged = 0;
    int unread_acknowledged = 0;
    int refused_starts = 0;

    [[nodiscard]] std::int64_t clock_ms(time_point now) const
    {
        return std::chrono::duration_cast<milliseconds>(now - booted_at)
            .count();
    }

    void restart(time_point now)
    {
        ++started_ms;
        booted_at = now;
        fence = 0;
        end_count = 0;
        ends.clear();
    }

    order_answer execute(const start_order& order, time_point now)
    {
        if (order.token < fence)
        {
            ++refused_starts;
            return {order_verdict::wrong_token, clock_ms(now)};
        }
        fence = order.token;
        ++end_count;
        ends[end_count] = {end_count, order.task, order.run, "done", ""};
        return {order_verdict::taken, clock_ms(now)};
    }

    poll_answer execute(const poll_request& request, time_point now)
    {
        poll_answer answer;
        answer.clock_ms = clock_ms(now);
        answer.started_ms = started_ms;
        if (request.token < fence)
        {
            answer.verdict = order_verdict::wrong_token;
            return answer;
        }
        fence = request.token;
        while (!ends.empty() && ends.begin()->first <= request.acknowledged)
        {
            const std::int64_t number = ends.begin()->first;
            ++acknowledged;
            unread_acknowledged += read_ends.count({started_ms, number}) == 0;
            ends.erase(ends.begin());
        }
        for (const auto& [number, end] : ends)
        {
            answer.ends.push_back(end);
        }
        return answer;
    }
};

/// Owner of one rack with one target, whose orders may be carried out late.
class simulation
{
public:
    explicit simulation(unsigned seed) : random_(seed)
    {
        rack_.name = "r1";
        rack_.token = 3;
        rack_target& target = rack_.targets["t1"];
        target.entry.id = "t1";
        target.is_recorded = true;
    }

    void run(int steps)
    {
        for (int step = 0; step < steps; ++step)
        {
            now_ += milliseconds(pick(40));
            deliver();
            if (pick(150) == 0)
            {
                target_.restart(now_);
            }
            const bool is_busy = (now_ - start_time) / busy_period % 2 == 0;
            if (!start_ends_at_ && pick(is_busy ? 8 : 200) == 0)
            {
                send_start();
            }
            if (!poll_ends_at_ && now_ >= next_poll_at_)
            {
                send_poll();
            }
        }
    }

    [[nodiscard]] const simulated_target& target() const noexcept
    {
        return target_;
    }

private:
    int pick(int bound)
    {
        return std::uniform_int_distribution<int>(0, bound - 1)(random_);
    }

    // Mostly short, so that later orders are sent before the longest delay.
    milliseconds pick_delay()
    {
        return milliseconds(pick(2) == 0 ? pick(1'500) : pick(11'000));
    }

    // An order that gets no answer is carried out within the longest delay, or
    // not at all.
    void send_start()
    {
        rack_target& target = rack_.targets["t1"];
        begin_start(rack_, target, now_);
        start_order order;
        order.task = "job.0.0." + std::to_string(++started_);
        order.run = 1;
        order.token = order_token(rack_, target);
        placed_run run;
        run.task = order.task;
        run.run = 1;
        run.terms = std::make_shared<const step_terms>();
        target.runs[{order.task, 1}] = run;
        const bool is_answered = pick(40) != 0;
        start_ends_at_ = now_ + start_timeout;
        const time_point arrival =
            now_ + (is_answered ? milliseconds(pick(50)) : pick_delay());
        at(arrival,
           [this, order, is_answered]
           {
               const order_answer answer = target_.execute(order, now_);
               if (is_answered)
               {
                   finish_start(order, answer.clock_ms);
               }
           });
        if (!is_answered)
        {
            at(*start_ends_at_, [this, order] { finish_start(order, 0); });
        }
    }

    void finish_start(const start_order& order, std::int64_t clock_ms)
    {
        rack_target& target = rack_.targets["t1"];
        start_ends_at_.reset();
        const run_id id{order.task, order.run};
        if (clock_ms > 0)
        {
            (void)apply_start(rack_, target, id, order_verdict::taken, now_);
        }
        else
        {
            add_unanswered_start(target, id, now_);
        }
        end_start(target, clock_ms, lease_limits(), now_);
    }

    void send_poll()
    {
        rack_target& target = rack_.targets["t1"];
        poll_request request;
        request.token = order_token(rack_, target);
        if (has_contact_)
        {
            request.acknowledged = next_acknowledgement(target, now_);
        }
        if (request.acknowledged > 0)
        {
            begin_acknowledgement(target);
        }
        const time_point sent_at = now_;
        const bool is_answered = pick(15) != 0;
        poll_ends_at_ = now_ + poll_timeout;
        at(now_ + (is_answered ? milliseconds(pick(300)) : pick_delay()),
           [this, request, sent_at, is_answered]
           {
               const poll_answer answer = target_.execute(request, now_);
               if (is_answered)
               {
                   finish_poll(request, sent_at, answer);
               }
           });
        if (!is_answered)
        {
            at(*poll_ends_at_, [this, request, sent_at]
               { finish_poll(request, sent_at, std::nullopt); });
        }
    }

    void finish_poll(const poll_request& request, time_point sent_at,
                     const std::optional<poll_answer>& answer)
    {
        rack_target& target = rack_.targets["t1"];
        poll_ends_at_.reset();
        next_poll_at_ = now_ + milliseconds(pick(200));
        if (request.acknowledged > 0)
        {
            end_acknowledgement(target, answer.has_value(), now_);
        }
        if (!answer)
        {
            has_contact_ = false;
            return;
        }
        if (answer->verdict != order_verdict::taken)
        {
            return;
        }
        has_contact_ = true;
        const bool has_restarted = target.started_ms != answer->started_ms;
        for (const listed_end& end : answer->ends)
        {
            target_.read_ends.emplace(answer->started_ms, end.number);
        }
        (void)apply_poll(rack_, target, *answer, sent_at, now_);
        if (!has_restarted && request.acknowledged > 0)
        {
            target.acks.confirmed = request.acknowledged;
        }
        for (const listed_end& end : answer->ends)
        {
            acknowledge(target, end.number, {end.task, end.run});
        }
    }

    void at(time_point when, std::function<void()> action)
    {
        pending_.emplace(when, std::move(action));
    }

    void deliver()
    {
        const time_point until = now_;
        while (!pending_.empty() && pending_.begin()->first <= until)
        {
            const auto it = pending_.begin();
            const std::function<void()> action = std::move(it->second);
            now_ = it->first;
            pending_.erase(it);
            action();
        }
        now_ = until;
    }

    std::mt19937 random_;
    time_point now_ = start_time;
    simulated_target target_;
    rack_state rack_;
    bool has_contact_ = false;
    int started_ = 0;
    std::optional<time_point> start_ends_at_;
    std::optional<time_point> poll_ends_at_;
    time_point next_poll_at_;
    std::multimap<time_point, std::function<void()>> pending_;
};

} // namespace

// Guards against ends that are acknowledged unread, so that tasks run again.
TEST_CASE("orders of a former boot acknowledge no end that was not read",
          "[rack]")
{
    for (unsigned seed = 1; seed <= 60; ++seed)
    {
        simulation world(seed);
        world.run(20'000);
        INFO("seed " << seed);
        REQUIRE(world.target().unread_acknowledged == 0);
        REQUIRE(world.target().refused_starts == 0);
        REQUIRE(world.target().acknowledged > 100);
    }
}

TEST_CASE("a token is raised for a start after an open acknowledgement only",
          "[rack]")
{
    rack_state rack;
    rack.token = 7;
    rack_target& target = rack.targets["t1"];
    const std::int64_t first = order_token(rack, target);
    begin_start(rack, target, start_time);
    end_start(target, 1, lease_limits(), start_time);
    CHECK(order_token(rack, target) == first);
    begin_acknowledgement(target);
    begin_start(rack, target, start_time);
    const std::int64_t second = order_token(rack, target);
    CHECK(second > first);
    begin_start(rack, target, start_time);
    CHECK(order_token(rack, target) == second);
    end_acknowledgement(target, true, start_time);
    begin_acknowledgement(target);
    end_acknowledgement(target, true, start_time);
    begin_start(rack, target, start_time);
    CHECK(order_token(rack, target) == second);
    begin_acknowledgement(target);
    end_acknowledgement(target, false, start_time);
    begin_start(rack, target, start_time + max_order_delay - milliseconds(1));
    CHECK(order_token(rack, target) > second);
    rack_state later_owner;
    later_owner.token = 8;
    CHECK(order_token(later_owner, {}) > order_token(rack, target));
}

TEST_CASE("ends are acknowledged only once all starts are settled", "[rack]")
{
    rack_state rack;
    rack_target& target = rack.targets["t1"];
    poll_answer answer;
    answer.started_ms = 1;
    answer.clock_ms = 60'000;
    answer.ends = {{1, "job.0.0.0", 1, "done", ""}};
    const auto poll_at = [&](time_point sent_at)
    {
        (void)apply_poll(rack, target, answer, sent_at, sent_at);
        acknowledge(target, 1, {"job.0.0.0", 1});
    };
    poll_at(start_time);
    CHECK(next_acknowledgement(target, start_time) == 1);
    begin_start(rack, target, start_time);
    CHECK(next_acknowledgement(target, start_time) == 0);
    // The clock of the boot that answered the poll.
    end_start(target, 60'100, lease_limits(), start_time + milliseconds(100));
    CHECK(next_acknowledgement(target, start_time + milliseconds(100)) == 1);
    begin_start(rack, target, start_time + milliseconds(200));
    // The clock of a later boot.
    end_start(target, 150, lease_limits(), start_time + milliseconds(200));
    CHECK(next_acknowledgement(target, start_time + milliseconds(200)) == 0);
    poll_at(start_time + milliseconds(300));
    CHECK(next_acknowledgement(target, start_time + milliseconds(300)) == 1);
    add_unanswered_start(target, {"job.0.0.1", 1},
                         start_time + milliseconds(400));
    const time_point settled_at =
        start_time + milliseconds(400) + max_order_delay;
    CHECK(next_acknowledgement(target, settled_at) == 0);
    CHECK(next_acknowledgement(target, settled_at + milliseconds(1)) == 1);
    target.listed_restart_at = start_time;
    CHECK(next_acknowledgement(target, settled_at + milliseconds(1)) == 0);
}
