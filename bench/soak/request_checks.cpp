#include "request_checks.hpp"

#include "disruptions.hpp"

#include <algorithm>
#include <map>
#include <string>

namespace egretspindle::bench
{

namespace
{

// Bounds of the platform (`lossSlackMs`, `graceS`, `configApplyMs` and the time
// after the last two).
constexpr std::int64_t loss_slack_ms = 200;
constexpr std::int64_t grace_ms = 6'000;
constexpr std::int64_t config_apply_ms = 2'000;
constexpr std::int64_t after_planned_work_ms = 1'000;
// Beside a configuration a host may cut requests up to this many times as often
// as at other times, and requests that have used this part of their time.
constexpr std::int64_t config_cut_factor = 3;
constexpr double config_used_share = 0.7;

bool is_beside_stop(const soak_record& record, const unanswered_call& call)
{
    const auto host = record.stops.find(call.host);
    return host != record.stops.end() &&
           std::any_of(host->second.begin(), host->second.end(),
                       [&](const planned_stop& stop)
                       {
                           return call.ended_ms >= stop.started_ms &&
                                  call.ended_ms <= stop.started_ms + grace_ms +
                                                       after_planned_work_ms;
                       });
}

bool is_beside_reload(const soak_record& record, const unanswered_call& call)
{
    return std::any_of(record.faults.begin(), record.faults.end(),
                       [&](const fault_window& fault)
                       {
                           return fault.kind == fault_kind::reload &&
                                  (fault.component == call.host ||
                                   fault.component == "reload-" + call.host) &&
                                  call.ended_ms >= fault.started_ms &&
                                  call.sent_ms <=
                                      fault.started_ms + config_apply_ms;
                       });
}

std::int64_t end_of_config(const fault_window& fault)
{
    return fault.started_ms + config_apply_ms + after_planned_work_ms;
}

bool is_beside_config(const soak_record& record, const unanswered_call& call)
{
    return std::any_of(record.faults.begin(), record.faults.end(),
                       [&](const fault_window& fault)
                       {
                           return fault.kind == fault_kind::config &&
                                  call.ended_ms >= fault.started_ms &&
                                  call.ended_ms <= end_of_config(fault);
                       });
}

// A request that was cut off at once may not have reached the host.
bool is_cut(const unanswered_call& call)
{
    return call.is_closed && call.ended_ms - call.sent_ms > loss_slack_ms &&
           call.ended_ms - call.sent_ms < call.limit_ms;
}

std::int64_t time_beside_configs(const soak_record& record)
{
    std::vector<std::pair<std::int64_t, std::int64_t>> spans;
    for (const fault_window& fault : record.faults)
    {
        if (fault.kind == fault_kind::config)
        {
            spans.emplace_back(fault.started_ms, end_of_config(fault));
        }
    }
    std::sort(spans.begin(), spans.end());
    std::int64_t sum = 0;
    std::int64_t covered_until = 0;
    for (const auto& [from, until] : spans)
    {
        sum += std::max<std::int64_t>(0, until - std::max(from, covered_until));
        covered_until = std::max(covered_until, until);
    }
    return sum;
}

// Returns whether a host cuts requests more often beside new configurations
// than the platform allows.
bool cuts_too_often(const soak_record& record, const std::string& host,
                    std::int64_t soak_ms)
{
    std::int64_t beside = 0;
    std::int64_t others = 0;
    for (const unanswered_call& call : record.unanswered_calls)
    {
        if (call.host == host && is_cut(call))
        {
            ++(is_beside_config(record, call) ? beside : others);
        }
    }
    const std::int64_t beside_ms = time_beside_configs(record);
    const std::int64_t others_ms =
        std::max<std::int64_t>(1, soak_ms - beside_ms);
    return beside * others_ms > config_cut_factor * others * beside_ms;
}

std::int64_t duration_of(const soak_record& record)
{
    std::int64_t from = record.finished_ms;
    for (const auto& [id, job] : record.jobs)
    {
        if (!job->calls.empty())
        {
            from = std::min(from, job->calls.front().sent_ms);
        }
    }
    return record.finished_ms - from;
}

// Returns the planned work that a cut request is beside; empty: none.
std::string find_planned_work(const soak_record& record,
                              const unanswered_call& call, std::int64_t soak_ms)
{
    if (is_beside_stop(record, call))
    {
        return "a planned stop";
    }
    if (is_beside_reload(record, call))
    {
        return "a reload of the settings";
    }
    const bool has_time_left =
        static_cast<double>(call.ended_ms - call.sent_ms) <
        config_used_share * static_cast<double>(call.limit_ms);
    const bool is_config = is_beside_config(record, call) && has_time_left &&
                           cuts_too_often(record, call.host, soak_ms);
    return is_config ? "a new configuration" : "";
}

// Checks that no host takes a request of a client for malformed. Reports the
// first one of each host.
void check_malformed_answers(const soak_record& record,
                             std::vector<check_failure>& failures)
{
    struct malformed_answers
    {
        int count = 0;
        std::string first;
        std::int64_t first_ms = still_running;
    };
    std::map<std::string, malformed_answers> hosts;
    for (const auto& [id, job] : record.jobs)
    {
        for (const job_call& call : job->calls)
        {
            if (call.status != 400)
            {
                continue;
            }
            malformed_answers& host = hosts[call.host];
            ++host.count;
            if (call.sent_ms < host.first_ms)
            {
                host.first_ms = call.sent_ms;
                host.first = fmt::format("{} of job {}", call.method, id);
            }
        }
    }
    for (const auto& [name, host] : hosts)
    {
        add_failure(failures, "well-formed requests are understood",
                    "{} answered {} of them with 400, first {}, sent at {}",
                    name, host.count, host.first, host.first_ms);
    }
}

} // namespace

void check_unanswered_calls(const soak_record& record,
                            std::vector<check_failure>& failures)
{
    const std::int64_t soak_ms = duration_of(record);
    for (const unanswered_call& call : record.unanswered_calls)
    {
        if (is_disrupted(record, call.host, call.sent_ms, call.ended_ms))
        {
            continue;
        }
        const std::string what = fmt::format(
            "{} of job {} at {}, sent at {}, after {} answered ones on its "
            "connection",
            call.method, call.job, call.host, call.sent_ms,
            call.answered_before);
        const std::string work = find_planned_work(record, call, soak_ms);
        if (is_cut(call) && !work.empty())
        {
            add_failure(failures, "planned work cuts no requests",
                        "{}: cut at {}, beside {}", what, call.ended_ms, work);
        }
        else if (is_cut(call) && !is_beside_config(record, call))
        {
            add_failure(failures, "calm hosts cut no requests", "{}: cut at {}",
                        what, call.ended_ms);
        }
        else if (!call.is_closed && call.answered_before > 0)
        {
            add_failure(failures, "each pipelined request is answered",
                        "{}: no answer until {}", what, call.ended_ms);
        }
    }
    check_malformed_answers(record, failures);
}

} // namespace egretspindle::bench
