#include "egretspindle/codec/json.hpp"
#include "egretspindle/rack/fleet_load.hpp"
#include "egretspindle/rack/load_message.hpp"
#include "egretspindle/rack/load_period.hpp"
#include "egretspindle/rack/pair_outbox.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <limits>
#include <random>
#include <string>

using namespace egretspindle;

namespace
{

const time_point start_time = time_point{} + milliseconds(1'000'000);
constexpr milliseconds tick{250};
constexpr int hosts = 43;
constexpr int targets_per_host = 12;
constexpr int serving_images = 18;
constexpr int backfill_images = 10;
// Message tag, UDP header and IP header.
constexpr std::size_t overhead_bytes = 16 + 8 + 20;
const fleet_size fleet{hosts - 1, hosts* targets_per_host};

std::string serving_name(int n)
{
    return "serving-image-" + std::to_string(n);
}

std::string backfill_name(int n)
{
    return "batch-image-" + std::to_string(n);
}

target_load_report make_target(int host, int n)
{
    target_load_report report;
    report.id = "target-" + std::to_string(host * targets_per_host + n);
    report.room = {12'345 + n, 98'765 - n, 0};
    report.backfill_milli = 4'321;
    report.unused_milli = 6'543;
    for (int i = 0; i < 4; ++i)
    {
        report.spare_headroom[serving_name((n + i) % serving_images)] =
            0.1 + i / 3.0;
    }
    report.scarcity = 2.0 / 3.0;
    report.reserved = 1.0 / 3.0;
    report.is_open = true;
    return report;
}

// Makes the reports of one rack with 8 targets and one with 4.
std::vector<rack_load_report> make_reports(int host)
{
    std::vector<rack_load_report> reports(2);
    for (int n = 0; n < targets_per_host; ++n)
    {
        reports[n < 8 ? 0 : 1].targets.push_back(make_target(host, n));
    }
    for (std::size_t n = 0; n < reports.size(); ++n)
    {
        reports[n].rack =
            "dc-1-rack-" + std::to_string(host) + "-" + std::to_string(n);
        reports[n].queued = 12;
        reports[n].queued_cpu_milli = 34'000;
        reports[n].eventual_cpu_milli = 23'456;
        reports[n].waiting = {{backfill_name(3), 2}, {backfill_name(7), 40}};
    }
    return reports;
}

std::size_t bytes_of(const load_message& message)
{
    return to_json(message).size() + overhead_bytes;
}

/// Host of the simulated cluster.
struct sim_host
{
    std::string name;
    std::vector<rack_load_report> reports;
    interference_model model;
    pair_outbox pairs;
    fleet_load load;
    peer_turns report_turns;
    send_schedule pair_schedule;
    std::size_t bytes_in = 0;
    std::size_t reports_in = 0;
    std::size_t reports_replaced = 0; ///< reports that replaced an earlier one
    /// Of these, the ones whose predecessor was too old.
    std::size_t reports_replaced_late = 0;
    milliseconds oldest{0}; ///< highest age of a report when replaced
};

double per_core_of(int serving, int backfill, int round)
{
    return 0.01 + serving / 100.0 + backfill / 1'000.0 + round % 2 * 0.05;
}

// Sets the pairs that a host has learned; the values differ between even and
// odd rounds.
void learn(sim_host& host, int round)
{
    for (int s = 0; s < serving_images; ++s)
    {
        for (int f = 0; f < backfill_images; ++f)
        {
            pair_interference item{serving_name(s), backfill_name(f),
                                   per_core_of(s, f, round), 500.0};
            host.model.own[{item.serving, item.backfill}] = item;
        }
    }
}

std::string host_name(int n)
{
    return "entry-host-" + std::to_string(n);
}

std::vector<sim_host> make_cluster(time_point now)
{
    std::vector<sim_host> cluster(hosts);
    for (int n = 0; n < hosts; ++n)
    {
        sim_host& host = cluster[static_cast<std::size_t>(n)];
        host.name = host_name(n);
        host.reports = make_reports(n);
        // Hosts do not send pairs at the same moment.
        host.pair_schedule.due_at = now + tick * (n % 12);
        learn(host, 0);
    }
    return cluster;
}

/// Message and the names of the hosts to which it is sent.
struct sim_message
{
    load_message message;
    std::vector<std::string> peers;
};

std::vector<std::string> names_of_others(const sim_host& host)
{
    std::vector<std::string> names;
    for (int n = 0; n < hosts; ++n)
    {
        const std::string name = host_name(n);
        if (name != host.name)
        {
            names.push_back(name);
        }
    }
    return names;
}

// Returns the messages that a host sends now, and schedules the next ones.
std::vector<sim_message> due_messages(sim_host& host, time_point now)
{
    const std::vector<std::string> peers = names_of_others(host);
    const std::vector<std::string> due =
        take_due_peers(host.report_turns, peers, report_period(fleet), now);
    std::vector<sim_message> messages;
    for (load_message& message :
         load_report_messages(host.name, 1, host.reports))
    {
        messages.push_back({std::move(message), due});
    }
    if (advance_if_due(host.pair_schedule, pair_period(fleet), now))
    {
        const std::vector<pair_interference> pairs =
            select_due_pairs(host.pairs, host.model, now);
        if (!pairs.empty())
        {
            messages.push_back({pair_message(host.name, 1, pairs), peers});
        }
    }
    return messages;
}

void receive(sim_host& host, const load_message& message, std::size_t bytes,
             bool is_lost, time_point now)
{
    host.bytes_in += bytes;
    host.reports_in += message.racks.empty() ? 0 : 1;
    if (is_lost)
    {
        return;
    }
    std::vector<rack_load_report> reports = load_reports_of(message);
    for (const rack_load_report& report : reports)
    {
        const auto it = host.load.racks.find(report.rack);
        if (it != host.load.racks.end())
        {
            const milliseconds age = std::chrono::duration_cast<milliseconds>(
                now - it->second.measured_at);
            host.oldest = std::max(host.oldest, age);
            ++host.reports_replaced;
            host.reports_replaced_late +=
                age > report_age(report_period(fleet)) ? 1 : 0;
        }
    }
    apply_load_reports(host.load, reports, now - age_of(message));
    const std::vector<pair_interference> pairs = pairs_of(message);
    if (!pairs.empty())
    {
        update_peer_interference(host.model, message.host, message.boot, pairs);
    }
}

/// Result of a run of the simulated cluster.
struct sim_result
{
    std::vector<sim_host> cluster;
    std::size_t largest = 0; ///< bytes of the largest datagram
};

// Simulates the cluster. A share `loss` of the datagrams is lost at each
// receiver; with `keeps_learning` all pairs change every 8 ticks (2 s).
sim_result run(milliseconds duration, double loss, bool keeps_learning)
{
    sim_result result;
    result.cluster = make_cluster(start_time);
    std::minstd_rand random(7);
    std::bernoulli_distribution is_lost(loss);
    int round = 0;
    for (milliseconds at{0}; at < duration; at += tick)
    {
        const time_point now = start_time + at;
        ++round;
        for (sim_host& host : result.cluster)
        {
            if (keeps_learning && round % 8 == 0)
            {
                learn(host, round / 8);
            }
            for (const sim_message& sent : due_messages(host, now))
            {
                const std::string text = to_json(sent.message);
                const std::size_t bytes = text.size() + overhead_bytes;
                result.largest = std::max(result.largest, bytes);
                const absl::StatusOr<load_message> message =
                    from_json<load_message>(text);
                REQUIRE(message.ok());
                for (sim_host& other : result.cluster)
                {
                    if (std::find(sent.peers.begin(), sent.peers.end(),
                                  other.name) != sent.peers.end())
                    {
                        receive(other, *message, bytes, is_lost(random), now);
                    }
                }
            }
        }
    }
    return result;
}

// Counts the pairs of another host that a host does not know, or knows with
// outdated values.
std::size_t count_unknown(const sim_host& host, const sim_host& other)
{
    const auto it = host.model.others.find(other.name);
    if (it == host.model.others.end())
    {
        return other.model.own.size();
    }
    return static_cast<std::size_t>(std::count_if(
        other.model.own.begin(), other.model.own.end(),
        [&](const auto& item)
        {
            const auto seen = it->second.pairs.find(item.first);
            return seen == it->second.pairs.end() ||
                   std::abs(seen->second.weight - item.second.weight) > 0.1 ||
                   std::abs(seen->second.per_core - item.second.per_core) >
                       0.001;
        }));
}

} // namespace

// Complete reports every 250 ms would take 2.99 MB/s per host in a fleet of 43
// hosts, more than the link of a small host (1.25 MB/s) can carry. All pairs
// keep changing in this test, so that there are always some to send.
TEST_CASE("load messages use at most a tenth of a small host's link", "[rack]")
{
    constexpr milliseconds duration{20'000};
    constexpr std::size_t duration_s = 20;
    const sim_result result = run(duration, 0.0, true);
    REQUIRE(result.largest <= max_datagram_bytes);
    for (const sim_host& host : result.cluster)
    {
        INFO(host.name << " received " << host.bytes_in / duration_s << " B/s, "
                       << host.reports_in / duration_s << " reports/s");
        REQUIRE(host.bytes_in <= duration_s * max_load_bytes_per_s);
        REQUIRE(host.reports_in <= duration_s * max_report_messages_per_s);
        REQUIRE(host.oldest <= milliseconds(750));
    }
}

// Datagrams are not acknowledged; later messages have to make up for lost ones.
TEST_CASE("load reports and pairs reach all hosts although datagrams are lost",
          "[rack]")
{
    const sim_result result = run(milliseconds(150'000), 1.0 / 3.0, false);
    std::size_t unknown = 0;
    std::size_t late = 0;
    std::size_t replaced = 0;
    for (const sim_host& host : result.cluster)
    {
        REQUIRE(host.load.racks.size() == 2 * (hosts - 1));
        late += host.reports_replaced_late;
        replaced += host.reports_replaced;
        for (const sim_host& other : result.cluster)
        {
            unknown += other.name == host.name ? 0 : count_unknown(host, other);
        }
    }
    constexpr std::size_t pairs =
        hosts * (hosts - 1) * serving_images * backfill_images;
    INFO(unknown << " of " << pairs << " pairs were not known, " << late
                 << " of " << replaced << " reports were too old");
    // Each pair is sent 5 times; all copies are lost in 1 of 243 cases.
    REQUIRE(unknown * 100 < pairs);
    // A report is too old when the next 4 or 5 in a row are lost, which happens
    // in 1 of 81 to 1 of 243 cases, depending on the timing of the ticks.
    REQUIRE(late * 100 < replaced);
}

// The links of small hosts cannot carry all pairs all the time.
TEST_CASE("unchanged pairs are sent again only after the refresh period",
          "[rack]")
{
    sim_host host;
    learn(host, 0);
    std::size_t sent = 0;
    for (int n = 0; n < 5; ++n)
    {
        sent += select_due_pairs(host.pairs, host.model, start_time).size();
    }
    REQUIRE(sent == serving_images * backfill_images);
    const time_point later = start_time + milliseconds(20'000);
    REQUIRE(select_due_pairs(host.pairs, host.model, later).empty());
    host.model.own.begin()->second.per_core += 0.05;
    REQUIRE(select_due_pairs(host.pairs, host.model, later).size() == 1);
    host.model.own.begin()->second.weight *= 2;
    REQUIRE(select_due_pairs(host.pairs, host.model, later).size() == 1);
    const time_point refresh_at = start_time + milliseconds(31'000);
    REQUIRE_FALSE(select_due_pairs(host.pairs, host.model, refresh_at).empty());
    mark_all_due(host.pairs);
    REQUIRE(select_due_pairs(host.pairs, host.model, later).size() ==
            max_pairs_per_message);
}

// A value that is rounded up would admit tasks that harm others, or exclude an
// image from targets that are reserved for it.
TEST_CASE("load reports are rounded down when encoded, and else unchanged",
          "[rack]")
{
    std::vector<rack_load_report> reports = make_reports(3);
    reports[0].targets[0].spare_headroom["negative"] = -0.333;
    reports[0].targets[1] = target_load_report{};
    reports[0].targets[1].id = "full";
    reports[1].targets[0].room = {-500, 0, 2};
    std::vector<rack_load_report> seen;
    for (const load_message& message : load_report_messages("h", 1, reports))
    {
        const absl::StatusOr<load_message> copy =
            from_json<load_message>(to_json(message));
        REQUIRE(copy.ok());
        const std::vector<rack_load_report> part = load_reports_of(*copy);
        seen.insert(seen.end(), part.begin(), part.end());
    }
    REQUIRE(seen.size() == reports.size());
    for (std::size_t r = 0; r < reports.size(); ++r)
    {
        REQUIRE(seen[r].rack == reports[r].rack);
        REQUIRE(seen[r].queued == reports[r].queued);
        REQUIRE(seen[r].queued_cpu_milli == reports[r].queued_cpu_milli);
        REQUIRE(seen[r].waiting == reports[r].waiting);
        REQUIRE(seen[r].targets.size() == reports[r].targets.size());
        for (std::size_t n = 0; n < reports[r].targets.size(); ++n)
        {
            const target_load_report& before = reports[r].targets[n];
            const target_load_report& after = seen[r].targets[n];
            REQUIRE(after.id == before.id);
            REQUIRE(after.is_open == before.is_open);
            REQUIRE(after.room.cpu_milli == before.room.cpu_milli);
            REQUIRE(after.room.memory_mb == before.room.memory_mb);
            REQUIRE(after.room.accelerators == before.room.accelerators);
            REQUIRE(after.backfill_milli == before.backfill_milli);
            REQUIRE(after.unused_milli == before.unused_milli);
            REQUIRE(after.scarcity <= before.scarcity);
            REQUIRE(after.scarcity > before.scarcity - 0.0011);
            REQUIRE(after.reserved <= before.reserved);
            REQUIRE(after.reserved > before.reserved - 0.0011);
            REQUIRE(after.spare_headroom.size() ==
                    before.spare_headroom.size());
            for (const auto& [image, spare_headroom] : before.spare_headroom)
            {
                REQUIRE(after.spare_headroom.at(image) <=
                        spare_headroom + 1e-6);
                REQUIRE(after.spare_headroom.at(image) >
                        spare_headroom - 0.011);
            }
        }
    }
}

TEST_CASE("malformed parts of a load message are ignored", "[rack]")
{
    load_message message;
    message.images = {"a"};
    message.pairs = {0, 7, 100, 10, 0, 0, 100, -1, 0, 0, 100, 10, 0};
    REQUIRE(pairs_of(message).size() == 1);
    encoded_rack_report row;
    row.rack = "r";
    row.target_suffixes = {"t"};
    message.racks.push_back(row);
    row.encoded_targets = {{1, 100, 100, 0, 0, 0, 0, 0, -1, 5}};
    message.racks.push_back(row);
    row.encoded_targets.clear();
    row.target_suffixes.clear();
    row.waiting = {9, 1};
    message.racks.push_back(row);
    REQUIRE(load_reports_of(message).empty());
}

TEST_CASE("reports of many racks are packed into datagrams of limited size",
          "[rack]")
{
    std::vector<rack_load_report> reports;
    for (int n = 0; n < 20; ++n)
    {
        const std::vector<rack_load_report> more = make_reports(n);
        reports.insert(reports.end(), more.begin(), more.end());
    }
    std::size_t racks = 0;
    std::size_t bytes = 0;
    for (const load_message& message : load_report_messages("h", 1, reports))
    {
        REQUIRE(bytes_of(message) <= max_datagram_bytes);
        bytes += bytes_of(message);
        racks += message.racks.size();
    }
    REQUIRE(racks == reports.size());
    // 240 targets; about 10 share the fixed bytes of a datagram.
    INFO(bytes / 240 << " bytes a target, headers included");
    REQUIRE(bytes <= 240 * (target_bytes + message_bytes / 10));
}

TEST_CASE("the report period follows from the size of the fleet", "[rack]")
{
    // Numbers of other hosts and of targets: present sites, a site with 43
    // hosts, and the largest planned one.
    REQUIRE(report_period({8, 66}) == milliseconds(250));
    REQUIRE(report_period({6, 48}) == milliseconds(250));
    REQUIRE(report_period({42, 490}) == milliseconds(602));
    REQUIRE(report_period({129, 1'100}) == milliseconds(1'000));
    REQUIRE(report_age(milliseconds(250)) == milliseconds(3'000));
    REQUIRE(report_age(milliseconds(1'000)) == milliseconds(5'000));
    REQUIRE(pair_period({8, 66}) == milliseconds(2'000));
    REQUIRE(pair_period({42, 490}) == milliseconds(3'045));
}

// Reports arrive at irregular intervals. If a placement were dropped after a
// fixed time (such as 450 ms), the same capacity could be assigned twice while
// an older report is in use.
TEST_CASE("a placement counts until a load report can include it", "[rack]")
{
    fleet_load fleet;
    target_entry entry;
    entry.id = "t";
    entry.rack = "r";
    entry.service = "svc";
    entry.capacity = {4'000, 4'000, 0};
    fleet.targets["t"] = entry;
    rack_load_report report;
    report.rack = "r";
    target_load_report target;
    target.id = "t";
    target.room = entry.capacity;
    target.is_open = true;
    report.targets = {target};
    std::vector<rack_load_report> reports{report};
    apply_load_reports(fleet, reports, start_time);
    step_terms terms;
    terms.service = "svc";
    terms.size = {4'000, 100, 0};
    std::minstd_rand random(1);
    REQUIRE(choose_racks(fleet, terms, 1, "", start_time, random).front() ==
            "r");
    // The second does not fit and waits in the queue of the rack.
    const time_point later = start_time + milliseconds(900);
    static_cast<void>(choose_racks(fleet, terms, 1, "", later, random));
    REQUIRE(hand_back_quota(fleet, terms, "none", later, random) == 0);
    REQUIRE(fleet.recent.size() == 2);
    // This report includes the first placement, but may have been made before
    // the second arrived.
    reports = {report};
    apply_load_reports(fleet, reports, start_time + milliseconds(1'000));
    const time_point next = start_time + milliseconds(1'001);
    REQUIRE(choose_racks(fleet, terms, 1, "", next, random).front() == "r");
    REQUIRE(hand_back_quota(fleet, terms, "none", next, random) == 0);
    REQUIRE(fleet.recent.size() == 2);
}

// Guards against a peer whose message would make reports look newer than they
// are, or overflows the clock.
TEST_CASE("the age of a load message is bounded", "[rack]")
{
    load_message message;
    CHECK(age_of(message) == milliseconds(0));
    message.age_ms = 480;
    CHECK(age_of(message) == milliseconds(480));
    CHECK(to_json(message).find("\"a\":480") != std::string::npos);
    message.age_ms = -1;
    CHECK(age_of(message) == milliseconds(0));
    message.age_ms = std::numeric_limits<std::int64_t>::max();
    CHECK(age_of(message) == max_message_age);
}
