#include "decision_cost.hpp"

#include "egretspindle/admission/batch_queue.hpp"
#include "egretspindle/admission/urgent_queue.hpp"
#include "egretspindle/placement/choose_racks.hpp"
#include "egretspindle/placement/choose_target.hpp"
#include "egretspindle/placement/observe.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <functional>
#include <string>
#include <vector>

namespace egretspindle::bench
{

namespace
{

struct shape
{
    std::size_t targets = 8;
    std::size_t tasks = 6; ///< per target
    std::size_t teams = 4;
    std::size_t kinds = 5;
};

/// Rack, model and limits of one measurement.
struct setup
{
    rack_load rack;
    policy_model model;
    policy_limits limits;
    time_point now = time_point{} + std::chrono::hours(10);
};

setup make_setup(const shape& size)
{
    setup made;
    std::size_t n = 0;
    for (std::size_t t = 0; t < size.targets; ++t)
    {
        target_load target;
        target.name = fmt::format("t{}", t);
        target.capacity = {64, 250000, 0};
        target.slots = static_cast<int>(size.tasks) + 2;
        target.connections = 60;
        for (std::size_t i = 0; i < size.tasks; ++i, ++n)
        {
            task_load task;
            task.key = fmt::format("k{}", n);
            task.kind = fmt::format("kind{}", n % size.kinds);
            task.team = fmt::format("team{}", n % size.teams);
            task.urgent = n % 3 == 0;
            task.checkpointable = !task.urgent;
            task.reserve = {1, 1000, 0};
            task.started = made.now;
            target.tasks.push_back(std::move(task));
        }
        observe_usage(made.model, target, {}, made.now);
        made.rack.targets.push_back(std::move(target));
    }
    for (std::size_t k = 0; k < size.kinds; ++k)
    {
        observe_urgent_arrival(made.model, fmt::format("kind{}", k), made.now);
    }
    return made;
}

double median_us(int rounds, const std::function<void()>& work)
{
    std::vector<double> times;
    constexpr int repeat = 200;
    for (int n = 0; n < rounds; ++n)
    {
        const time_point begin = steady_clock::now();
        for (int i = 0; i < repeat; ++i)
        {
            work();
        }
        times.push_back(std::chrono::duration<double, std::micro>(
                            steady_clock::now() - begin)
                            .count() /
                        repeat);
    }
    std::sort(times.begin(), times.end());
    return times[times.size() / 2];
}

double target_cost(const shape& size, int rounds)
{
    setup made = make_setup(size);
    std::mt19937_64 rng(1);
    task_request request;
    request.kind = "kind0";
    request.team = "team0";
    request.urgent = true;
    request.size = {1, 500, 0};
    request.expected_ms = 50;
    return median_us(rounds,
                     [&]
                     {
                         const placement_decision decision =
                             choose_target(made.rack, request, made.model,
                                           made.limits, made.now, rng);
                         if (decision.reason.empty())
                         {
                             std::abort();
                         }
                     });
}

double rack_cost(std::size_t count, int rounds)
{
    std::vector<rack_summary> racks(count);
    for (rack_summary& rack : racks)
    {
        rack.free_slots = 8;
        rack.free_cores = 100;
        rack.free_memory_mb = 100000;
        rack.targets = 8;
    }
    std::mt19937_64 rng(1);
    task_request request;
    request.urgent = true;
    request.size = {1, 500, 0};
    return median_us(rounds,
                     [&]
                     {
                         if (choose_racks(racks, request, rng).empty())
                         {
                             std::abort();
                         }
                     });
}

/// Prints the cost of the queues when they are full.
void print_queue_cost(int rounds)
{
    constexpr std::size_t teams = 24;
    const time_point now = time_point{} + std::chrono::hours(10);
    policy_limits limits;
    batch_queue batch;
    urgent_queue urgent;
    task_request request;
    request.urgent = true;
    request.deadline = now + std::chrono::seconds(60);
    for (std::size_t n = 0; n < teams * 1000; ++n)
    {
        batch_item item;
        item.key = fmt::format("k{}", n);
        item.team = fmt::format("team{}", n % teams);
        item.size = {1, 1000, 0};
        item.enqueued = now;
        push(batch, std::move(item));
        request.team = fmt::format("team{}", n % teams);
        if (urgent.items.size() < urgent.max_items)
        {
            (void)admit(urgent, limits, request, 10, 10, now);
        }
    }
    std::vector<rack_summary> racks(140);
    racks.back().free_slots = 8;
    racks.back().free_cores = 100;
    racks.back().free_memory_mb = 100000;
    fmt::print(
        "  check_room, full: {:.2f} us\n",
        median_us(rounds,
                  [&]
                  {
                      if (check_queue_capacity(batch, limits, "team0").ok())
                      {
                          std::abort();
                      }
                  }));
    fmt::print("  next_batch and defer, 24,000 items, 140 racks: {:.1f} us\n",
               median_us(rounds,
                         [&]
                         {
                             defer(batch,
                                   *next_batch(batch, limits, {}, racks, now),
                                   now, milliseconds(0));
                         }));
    request.team = "team0";
    fmt::print(
        "  admit, full: {:.1f} us\n",
        median_us(rounds,
                  [&]
                  {
                      if (admit(urgent, limits, request, 10, 10, now).admitted)
                      {
                          std::abort();
                      }
                  }));
}

void print_slope(const char* name, const std::vector<shape>& sizes,
                 const std::function<std::size_t(const shape&)>& value,
                 int rounds)
{
    double first = 0;
    std::string line = fmt::format("  choose_target by {:<18}", name);
    for (const shape& size : sizes)
    {
        const double us = target_cost(size, rounds);
        line += fmt::format("  {}: {:.1f} us", value(size), us);
        if (first == 0)
        {
            first = us;
        }
        else if (&size == &sizes.back())
        {
            const double more = static_cast<double>(value(size)) -
                                static_cast<double>(value(sizes.front()));
            line += fmt::format("  slope {:.3f} us", (us - first) / more);
        }
    }
    fmt::print("{}\n", line);
}

} // namespace

void print_decision_cost(int rounds)
{
    fmt::print("decision cost, median of {} rounds of 200 calls\n", rounds);
    print_slope(
        "targets per rack", {{4}, {8}, {16}, {32}},
        [](const shape& size) { return size.targets; }, rounds);
    print_slope(
        "tasks per target", {{8, 2}, {8, 6}, {8, 14}, {8, 28}},
        [](const shape& size) { return size.tasks; }, rounds);
    print_slope(
        "teams", {{8, 6, 2}, {8, 6, 8}, {8, 6, 24}},
        [](const shape& size) { return size.teams; }, rounds);
    print_slope(
        "kinds", {{8, 6, 4, 2}, {8, 6, 4, 10}, {8, 6, 4, 40}},
        [](const shape& size) { return size.kinds; }, rounds);
    // 31,000 tasks on 1,100 targets are 28 a target; a decision sees one rack
    // of them and the summaries of all.
    const double target = target_cost({8, 28, 24, 20}, rounds);
    for (const std::size_t racks : {7U, 35U, 140U})
    {
        fmt::print("  choose_racks {} racks ({} targets): {:.1f} us\n", racks,
                   std::min<std::size_t>(racks * 8, 1100),
                   rack_cost(racks, rounds));
    }
    fmt::print("  choose_target at 28 tasks a target, 24 teams, 20 kinds: "
               "{:.1f} us\n",
               target);
    print_queue_cost(rounds);
}

} // namespace egretspindle::bench
