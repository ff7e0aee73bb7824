#include "support/fault_run.hpp"

#include "egretspindle/core/clock.hpp"

#include "support/fault_plan.hpp"
#include "support/load.hpp"
#include "support/make_cluster.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <thread>

namespace egretspindle::test
{

namespace
{

/// Injects and removes faults, several at a time.
class fault_injector
{
public:
    fault_injector(const fault_run_options& options, cluster& nodes)
        : options_(options), nodes_(nodes), random_(options.seed)
    {
    }

    void run()
    {
        const time_point end = start_ + options_.length;
        time_point next = steady_clock::now();
        while (steady_clock::now() < end)
        {
            const time_point now = steady_clock::now();
            remove_until(now);
            if (now >= next)
            {
                inject();
                next = now + milliseconds(200 + random_() % 1500);
            }
            std::this_thread::sleep_for(milliseconds(20));
        }
        remove_until(time_point::max());
    }

    [[nodiscard]] std::vector<std::string> actions() const
    {
        return actions_;
    }

private:
    struct active_fault
    {
        fault what;
        time_point end;
    };

    void inject()
    {
        const fault chosen = choose_fault(random_, nodes_);
        const bool has_fault =
            std::any_of(active_.begin(), active_.end(),
                        [&](const active_fault& it)
                        { return it.what.component == chosen.component; });
        const std::size_t limit = static_cast<std::size_t>(options_.max_faults);
        if (has_fault || active_.size() >= limit)
        {
            return;
        }
        log_action(
            fmt::format("{} for {} ms", chosen.text, chosen.length.count()));
        chosen.inject();
        active_.push_back({chosen, steady_clock::now() + chosen.length});
    }

    void remove_until(time_point limit)
    {
        for (auto it = active_.begin(); it != active_.end();)
        {
            if (it->end > limit)
            {
                ++it;
                continue;
            }
            log_action("end of " + it->what.text);
            it->what.remove();
            it = active_.erase(it);
        }
    }

    void log_action(const std::string& text)
    {
        const std::chrono::duration<double> time = steady_clock::now() - start_;
        actions_.push_back(fmt::format("{:6.2f} s {}", time.count(), text));
        if (options_.report)
        {
            options_.report(actions_.back());
        }
    }

    const fault_run_options& options_;
    cluster& nodes_;
    std::mt19937 random_;
    time_point start_ = steady_clock::now();
    std::vector<active_fault> active_;
    std::vector<std::string> actions_;
};

violations check_final_outcomes(const run_record& record,
                                const std::vector<caller_reply>& replies)
{
    violations result;
    for (const caller_reply& reply : replies)
    {
        if (!reply.is_final() && reply.outcome != "not_run")
        {
            result.push_back(fmt::format("{}: no final outcome\n{}", reply.key,
                                         trace_of(record, reply.key)));
        }
    }
    return result;
}

} // namespace

fault_run_result run_faults(const fault_run_options& options)
{
    const std::unique_ptr<cluster> nodes =
        make_cluster()
            .with_data_centers(2)
            .with_proxy()
            .with_host_program(options.host_program)
            .build();
    caller calls;
    load_options traffic_options;
    traffic_options.addresses = nodes->addresses();
    traffic_options.seed = options.seed;
    traffic_options.cancel_share = 0.1;
    load traffic(calls, traffic_options);
    fault_injector faults(options, *nodes);
    faults.run();
    nodes->wait_ready(nodes->host_names());
    fault_run_result result;
    result.actions = faults.actions();
    result.replies = traffic.wait_for_outcomes();
    result.log_directory = nodes->directory();
    const run_record record = nodes->record(calls);
    result.found_violations = check_all(record);
    const violations unfinished = check_final_outcomes(record, result.replies);
    result.found_violations.insert(result.found_violations.end(),
                                   unfinished.begin(), unfinished.end());
    return result;
}

} // namespace egretspindle::test
