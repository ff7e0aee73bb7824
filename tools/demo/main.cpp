// Demonstration on one machine: two data centres under mixed load. An entry
// host and a target are killed.

#include "egretspindle/core/clock.hpp"

#include "class_summary.hpp"
#include "support/load.hpp"
#include "support/make_cluster.hpp"
#include "support/wait_until.hpp"

#include <fmt/format.h>

#include <exception>

namespace
{

using namespace egretspindle;
using namespace egretspindle::test;

constexpr std::chrono::seconds phase_length{8};

/// Prints a progress line with the time since the start.
void report(const std::string& text)
{
    static const time_point start = steady_clock::now();
    const std::chrono::duration<double> elapsed = steady_clock::now() - start;
    fmt::print("[{:5.1f} s] {}\n", elapsed.count(), text);
    std::fflush(stdout);
}

/// Lets the load run for one phase, with a progress line every 2 s.
void run_phase(const load& traffic, const std::string& text)
{
    report(text);
    const time_point end = steady_clock::now() + phase_length;
    while (steady_clock::now() < end)
    {
        std::this_thread::sleep_for(std::chrono::seconds(2));
        report(fmt::format("  {} requests sent", traffic.submitted()));
    }
}

void print_table(const std::vector<class_summary>& summaries)
{
    fmt::print("\n{:<23}{:>9}{:>7}{:>9}{:>9}{:>8}{:>11}{:>11}{:>12}{:>10}\n",
               "class", "requests", "done", "not_run", "unknown", "other",
               "median ms", "p99 ms", "executions", "per done");
    for (const class_summary& it : summaries)
    {
        fmt::print("{:<23}{:>9}{:>7}{:>9}{:>9}{:>8}{:>11}{:>11}{:>12}{:>10}\n",
                   it.name, it.requests, it.done, it.not_run, it.unknown,
                   it.other, it.median_ms, it.p99_ms, it.executions,
                   it.done == 0 ? "-"
                                : fmt::format("{:.3f}", it.executions_of_done /
                                                            static_cast<double>(
                                                                it.done)));
    }
    fmt::print(R"(
done        the caller received the complete answer
not_run     refused; the request certainly did not run
unknown     ran on the killed target, which may have finished it
median, p99 of requests done, from the first submission to the answer; of
            batch, to the end of its execution, since its callers do not wait
executions  starts that the targets recorded; work that is moved off a dead
            target starts again, except non-idempotent work
)");
}

/// Prints each guarantee and whether it held.
///
/// \returns whether every guarantee held
bool print_guarantees(const run_record& record,
                      const std::vector<caller_reply>& replies)
{
    violations unfinished;
    for (const caller_reply& it : replies)
    {
        if (!it.is_final() && it.outcome != "not_run")
        {
            unfinished.push_back(it.key + ": no final outcome\n" +
                                 trace_of(record, it.key));
        }
    }
    const std::vector<std::pair<std::string, violations>> guarantees{
        {"every request has a final outcome", unfinished},
        {"no request executes in two places at once", check_no_overlap(record)},
        {"non-idempotent requests start at most once",
         check_single_start(record)},
        {"a request ends at most once", check_single_completion(record)},
        {"answers are complete and belong to the request",
         check_answers(record)},
        {"what was reported as not run did not run", check_not_run(record)},
        {"all hosts report the same outcome", check_stable_outcome(record)},
        {"no target is overloaded", check_no_overload(record)}};
    bool result = true;
    fmt::print("\n");
    for (const auto& [text, found] : guarantees)
    {
        fmt::print("{:<52}{}\n", text,
                   found.empty()
                       ? "held"
                       : fmt::format("VIOLATED {} times", found.size()));
        if (!found.empty())
        {
            fmt::print("{}\n", found.front());
        }
        result = result && found.empty();
    }
    return result;
}

bool run_demo()
{
    report("starting 2 data centres with 3 entry hosts and 4 targets each");
    const std::unique_ptr<cluster> nodes =
        make_cluster().with_data_centers(2).build();
    caller calls;
    load_options options;
    options.prefix = "demo";
    options.addresses = nodes->addresses();
    load traffic(calls, options);
    run_phase(traffic, "sending urgent and batch requests");
    nodes->host("a1").kill();
    run_phase(traffic, "killed entry host a1");
    nodes->target("b-t1").kill();
    run_phase(traffic, "killed target b-t1");
    report("load stopped; waiting for the final outcome of each request");
    const std::vector<caller_reply> replies = traffic.wait_for_outcomes();
    const run_record record = nodes->record(calls);
    report(fmt::format("{} requests have ended", replies.size()));
    print_table(summarize(record, replies));
    const bool all_held = print_guarantees(record, replies);
    fmt::print("\n{}\n", all_held ? "Every guarantee held."
                                  : "A guarantee was violated; see above.");
    if (!all_held)
    {
        fmt::print("{}", nodes->log_tails());
    }
    return all_held;
}

} // namespace

int main()
{
    try
    {
        return run_demo() ? 0 : 1;
    }
    catch (const std::exception& error)
    {
        fmt::print(stderr, "demo: {}\n", error.what());
        return 2;
    }
}
