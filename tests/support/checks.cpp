#include "support/checks.hpp"

#include "egretspindle/codec/json.hpp"

#include "common/work.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <set>

namespace egretspindle::test
{

namespace
{

const std::string record_prefix = "request/";

/// Part of a request record that tells whether it ended.
struct recorded_reply
{
    std::string outcome;
};

template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const recorded_reply* /*tag*/)
{
    visit("outcome", value.outcome);
}

struct recorded_request
{
    std::string state;
    int attempt = 0;
    recorded_reply reply;
};

template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value,
                  const recorded_request* /*tag*/)
{
    visit("state", value.state);
    visit("attempt", value.attempt);
    visit("reply", value.reply);
}

std::map<std::string, std::vector<execution>>
by_key(const std::vector<execution>& executions)
{
    std::map<std::string, std::vector<execution>> result;
    for (const execution& it : executions)
    {
        result[it.key].push_back(it);
    }
    for (auto& [key, list] : result)
    {
        std::sort(list.begin(), list.end(),
                  [](const execution& lhs, const execution& rhs)
                  { return lhs.start_ms < rhs.start_ms; });
    }
    return result;
}

// Limits the traces, since a systematic fault violates a guarantee for every
// request and a few traces show it.
constexpr std::size_t max_traces = 4;

void add(violations& result, const run_record& record, const std::string& key,
         const std::string& text)
{
    result.push_back(fmt::format(
        "{}: {}\n{}", key, text,
        result.size() < max_traces ? trace_of(record, key) : std::string()));
}

} // namespace

violations check_no_overlap(const run_record& record)
{
    violations result;
    for (const auto& [key, list] : by_key(record.executions))
    {
        std::int64_t busy_until_ms = 0;
        for (const execution& it : list)
        {
            if (it.start_ms < busy_until_ms)
            {
                add(result, record, key,
                    fmt::format("attempt {} on {} overlaps an earlier one",
                                it.attempt, it.target));
            }
            busy_until_ms = std::max(busy_until_ms, it.last_tick_ms);
        }
    }
    return result;
}

violations check_single_start(const run_record& record)
{
    violations result;
    std::set<std::string> non_idempotent;
    for (const caller_reply& it : record.replies)
    {
        if (!it.is_idempotent)
        {
            non_idempotent.insert(it.key);
        }
    }
    for (const auto& [key, list] : by_key(record.executions))
    {
        if (list.size() > 1 && non_idempotent.count(key) > 0)
        {
            add(result, record, key, "non-idempotent, started more than once");
        }
    }
    return result;
}

violations check_single_completion(const run_record& record)
{
    violations result;
    std::map<std::string, std::string> ended;
    for (const standin::store_event& event : record.store)
    {
        if (event.key.rfind(record_prefix, 0) != 0 || event.version == 0)
        {
            continue;
        }
        const absl::StatusOr<recorded_request> row =
            from_json<recorded_request>(event.value);
        if (!row.ok())
        {
            continue;
        }
        const std::string key = event.key.substr(record_prefix.size());
        const bool was_ended = ended.count(key) > 0;
        if (was_ended &&
            (row->state != "ended" || row->reply.outcome != ended[key]))
        {
            add(result, record, key,
                "recorded as " + ended[key] + ", then as " + row->state + " " +
                    row->reply.outcome);
        }
        // A request that certainly did not run may be submitted again.
        if (row->state == "ended" && row->reply.outcome != "not_run")
        {
            ended[key] = row->reply.outcome;
        }
    }
    return result;
}

violations check_answers(const run_record& record)
{
    violations result;
    for (const caller_reply& it : record.replies)
    {
        if (it.outcome == "done" &&
            it.answer != standin::answer_of(it.key, it.body))
        {
            add(result, record, it.key, "wrong answer: " + it.answer);
        }
    }
    return result;
}

violations check_not_run(const run_record& record)
{
    violations result;
    for (const caller_reply& it : record.replies)
    {
        if (it.outcome != "not_run")
        {
            continue;
        }
        const bool is_resubmitted =
            std::any_of(record.replies.begin(), record.replies.end(),
                        [&](const caller_reply& other)
                        {
                            return other.key == it.key &&
                                   other.call == "submit" &&
                                   other.sent_ms >= it.received_ms;
                        });
        for (const execution& run : executions_for(record.executions, it.key))
        {
            if (run.start_ms < it.received_ms || !is_resubmitted)
            {
                add(result, record, it.key,
                    "reported as not_run, but it started");
            }
        }
    }
    return result;
}

violations check_stable_outcome(const run_record& record)
{
    violations result;
    std::map<std::string, std::string> reported;
    for (const caller_reply& it : record.replies)
    {
        if (!it.is_final())
        {
            continue;
        }
        const auto [known, is_new] = reported.emplace(it.key, it.outcome);
        // A caller that received `unknown` may receive the outcome later.
        if (!is_new && known->second == "unknown")
        {
            known->second = it.outcome;
        }
        if (!is_new && known->second != it.outcome)
        {
            add(result, record, it.key,
                "reported as " + known->second + ", then as " + it.outcome);
        }
    }
    return result;
}

violations check_no_overload(const run_record& record)
{
    violations result;
    for (const standin::journal_event& event : record.events)
    {
        if (event.event == "overload")
        {
            result.push_back(event.target + " overloaded: " + event.detail);
        }
    }
    return result;
}

violations check_outcomes(const std::vector<caller_reply>& replies,
                          const std::set<std::string>& allowed,
                          const run_record& record)
{
    violations result;
    for (const caller_reply& it : replies)
    {
        if (allowed.count(it.outcome) == 0)
        {
            add(result, record, it.key,
                fmt::format("{} ended as '{}' {} {}", it.call, it.outcome,
                            it.reason, it.error));
        }
    }
    return result;
}

violations check_all(const run_record& record)
{
    violations result;
    for (const auto& check :
         {check_no_overlap, check_single_start, check_single_completion,
          check_answers, check_not_run, check_stable_outcome,
          check_no_overload})
    {
        const violations found = check(record);
        result.insert(result.end(), found.begin(), found.end());
    }
    return result;
}

std::string trace_of(const run_record& record, const std::string& key)
{
    std::multimap<std::int64_t, std::string> lines;
    for (const standin::journal_event& event : record.events)
    {
        if (event.key == key)
        {
            lines.emplace(event.wall_ms,
                          fmt::format("{} {} attempt {} epoch {}.{} last tick "
                                      "{} {}",
                                      event.target, event.event, event.attempt,
                                      event.epoch, event.term,
                                      event.last_tick_ms, event.detail));
        }
    }
    for (const standin::store_event& event : record.store)
    {
        if (event.key == record_prefix + key)
        {
            lines.emplace(event.wall_ms, "store " + event.value);
        }
    }
    for (const caller_reply& it : record.replies)
    {
        if (it.key == key)
        {
            lines.emplace(it.sent_ms, "caller sends " + it.call);
            lines.emplace(it.received_ms,
                          fmt::format("caller receives {} {} {} {}", it.status,
                                      it.outcome, it.reason, it.error));
        }
    }
    std::string text;
    for (const auto& [time, line] : lines)
    {
        text += fmt::format("    {} {}\n", time, line);
    }
    return text;
}

} // namespace egretspindle::test
