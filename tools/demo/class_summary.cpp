#include "class_summary.hpp"

#include <algorithm>
#include <cmath>
#include <map>

namespace egretspindle
{

namespace
{

// Team of all batch requests of the test load, as a prefix of their keys.
constexpr std::string_view batch_team = "archive/";
constexpr std::size_t batch_class = 2;

std::size_t class_of(const test::caller_reply& reply)
{
    if (reply.key.rfind(batch_team, 0) == 0)
    {
        return batch_class;
    }
    return reply.is_idempotent ? 0 : 1;
}

std::int64_t quantile(const std::vector<std::int64_t>& sorted, double share)
{
    if (sorted.empty())
    {
        return 0;
    }
    const double position = share * static_cast<double>(sorted.size() - 1);
    return sorted[static_cast<std::size_t>(std::lround(position))];
}

void count_outcome(class_summary& summary, const std::string& outcome)
{
    ++summary.requests;
    if (outcome == "done")
    {
        ++summary.done;
    }
    else if (outcome == "not_run")
    {
        ++summary.not_run;
    }
    else if (outcome == "unknown")
    {
        ++summary.unknown;
    }
    else
    {
        ++summary.other;
    }
}

} // namespace

std::vector<class_summary>
summarize(const test::run_record& record,
          const std::vector<test::caller_reply>& replies)
{
    std::vector<class_summary> result(3);
    result[0].name = "urgent, idempotent";
    result[1].name = "urgent, non-idempotent";
    result[2].name = "batch";
    std::map<std::string, std::size_t> executions;
    std::map<std::string, std::int64_t> executed_ms;
    for (const test::execution& it : record.executions)
    {
        ++executions[it.key];
        executed_ms[it.key] = std::max(executed_ms[it.key], it.last_tick_ms);
    }
    std::map<std::string, std::int64_t> sent_ms;
    for (const test::caller_reply& it : record.replies)
    {
        const auto known = sent_ms.emplace(it.key, it.sent_ms).first;
        known->second = std::min(known->second, it.sent_ms);
    }
    std::vector<std::vector<std::int64_t>> latencies(result.size());
    for (const test::caller_reply& it : replies)
    {
        const std::size_t n = class_of(it);
        count_outcome(result[n], it.outcome);
        result[n].executions += executions[it.key];
        if (it.outcome == "done")
        {
            result[n].executions_of_done += executions[it.key];
            const std::int64_t end_ms =
                n == batch_class ? executed_ms[it.key] : it.received_ms;
            latencies[n].push_back(end_ms - sent_ms[it.key]);
        }
    }
    for (std::size_t n = 0; n < result.size(); ++n)
    {
        std::sort(latencies[n].begin(), latencies[n].end());
        result[n].median_ms = quantile(latencies[n], 0.5);
        result[n].p99_ms = quantile(latencies[n], 0.99);
    }
    return result;
}

} // namespace egretspindle
