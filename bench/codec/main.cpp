/// \file
/// Measures the time to decode and encode a page of store rows and a load
/// report.

#include "egretspindle/codec/json.hpp"
#include "egretspindle/rack/load_message.hpp"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <vector>

namespace
{

using namespace egretspindle;

constexpr int run_count = 15;
// Long enough that a time slice of another process does not dominate a run.
constexpr std::chrono::milliseconds run_time{100};

/// Row of the store, with its value in base64.
struct stored_row
{
    std::string table;
    std::string part;
    std::string key;
    std::string value;
    std::int64_t version = 0;
};

template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const stored_row* /*tag*/)
{
    visit("table", value.table);
    visit("part", value.part);
    visit("key", value.key);
    visit("value", value.value);
    visit("rowVersion", value.version);
}

std::vector<stored_row> make_page()
{
    std::vector<stored_row> page;
    for (int n = 0; n < 490; ++n)
    {
        const std::string id = std::to_string(n);
        page.push_back({"targets", "karak-b", "target-" + id,
                        std::string(240, 'Q') + "==", 81'234'000 + n});
    }
    return page;
}

load_message make_report()
{
    std::vector<rack_load_report> racks;
    for (int rack = 0; rack < 2; ++rack)
    {
        rack_load_report rack_report{
            "rack-" + std::to_string(rack), 12, 48'000, {}, {}};
        for (int n = 0; n < 8; ++n)
        {
            target_load_report target;
            target.id = rack_report.rack + "-target-" + std::to_string(n);
            target.room = {1250 * n, 4096 * n, 0};
            target.spare_headroom = {{"rota-draft", 0.125 * n},
                                     {"pay-split", 1.0 / 3}};
            target.scarcity = 0.7;
            target.is_open = true;
            rack_report.targets.push_back(target);
        }
        racks.push_back(rack_report);
    }
    return load_report_messages("host-17", 1'764'826'571'123, racks).front();
}

/// Prints the time of one call in microseconds: minimum, median and maximum.
template <typename Call>
void measure(const char* name, std::size_t bytes, const Call& call)
{
    std::vector<double> times;
    for (int run = 0; run < run_count; ++run)
    {
        const time_point begin = std::chrono::steady_clock::now();
        time_point end = begin;
        int calls = 0;
        for (; end - begin < run_time; ++calls)
        {
            if (!call())
            {
                std::abort();
            }
            end = std::chrono::steady_clock::now();
        }
        const std::chrono::duration<double, std::micro> spent = end - begin;
        times.push_back(spent.count() / calls);
    }
    std::sort(times.begin(), times.end());
    std::printf("%-14s %7zu bytes, %d runs: %.1f, %.1f, %.1f us\n", name, bytes,
                run_count, times.front(), times[times.size() / 2],
                times.back());
}

} // namespace

int main()
{
    const std::vector<stored_row> page = make_page();
    const std::string page_text = to_json(page);
    const load_message report = make_report();
    const std::string report_text = to_json(report);
    measure("decode page", page_text.size(),
            [&] { return from_json<std::vector<stored_row>>(page_text).ok(); });
    measure("encode page", page_text.size(),
            [&] { return !to_json(page).empty(); });
    measure("decode report", report_text.size(),
            [&] { return from_json<load_message>(report_text).ok(); });
    measure("encode report", report_text.size(),
            [&] { return !to_json(report).empty(); });
}
