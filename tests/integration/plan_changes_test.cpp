#include "egretspindle/core/clock.hpp"

#include "admin_caller.hpp"
#include "support/wait_until.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <random>
#include <thread>

using namespace egretspindle;
using namespace egretspindle::test;

namespace
{

constexpr int rounds = 10;
// Delay of each store call. An acceptance needs several calls and takes about
// 250 ms, so that faults at random times hit all of its steps.
constexpr long store_delay_ms = 25;

std::unique_ptr<cluster> make_plan_cluster()
{
    return make_cluster()
        .with_data_centers(2)
        .with_hosts(2)
        .with_targets(2)
        .with_proxy()
        .with_more_settings(operator_settings_text)
        .with_plan(plan_with_break())
        .build();
}

/// Returns the acceptance that a host reports, or nothing.
std::optional<accept_result>
parse_accept_result(const absl::StatusOr<http_response>& response)
{
    if (status_of(response) != 200)
    {
        return std::nullopt;
    }
    return from_json<accept_result>(response->body).value();
}

struct plan_history
{
    std::vector<plan_record> versions;
};

template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const plan_history* /*tag*/)
{
    visit("versions", value.versions);
}

std::vector<plan_record> history_of(const admin_caller& admin)
{
    return from_json<plan_history>(
               admin.send("GET", "plan/history?limit=50").value().body)
        .value()
        .versions;
}

/// Repeats an acceptance until a host knows the result.
accept_result wait_for_acceptance(const admin_caller& admin,
                                  const std::string& digest, std::int64_t base)
{
    std::optional<accept_result> result;
    const bool has_result = wait_until(
        [&]
        {
            result = parse_accept_result(admin.accept(digest, base));
            return result.has_value();
        },
        std::chrono::seconds(60));
    if (!has_result)
    {
        throw std::runtime_error("no result of the acceptance");
    }
    return *result;
}

} // namespace

// Guards against an operator overwriting the edit of another one, and against
// false conflicts between sections.
TEST_CASE("concurrent edits conflict in one section but not across two",
          "[plan_changes]")
{
    const std::unique_ptr<cluster> nodes = make_plan_cluster();
    const admin_caller ayu(nodes->host("a1").admin, "ayu");
    const admin_caller budi(nodes->host("b1").admin, "budi");
    const admin_caller chai(nodes->host("b2").admin, "chai");
    (void)write_sections(ayu, chai);
    for (int round = 0; round < 10; ++round)
    {
        INFO("round " << round << nodes->log_tails());
        const plan_draft before = ayu.draft();
        const std::int64_t base = version_of(before, "team.rota");
        const std::string texts[] = {fmt::format("weight = {}\n", round + 1),
                                     fmt::format("weight = {}\n", round + 101)};
        absl::StatusOr<http_response> first;
        absl::StatusOr<http_response> second;
        absl::StatusOr<http_response> other;
        std::thread one([&] { first = ayu.edit("team.rota", texts[0], base); });
        std::thread two([&]
                        { second = budi.edit("team.rota", texts[1], base); });
        std::thread three(
            [&]
            {
                other = chai.edit("team.archive",
                                  fmt::format("weight = {}\n", round + 1),
                                  version_of(before, "team.archive"));
            });
        one.join();
        two.join();
        three.join();
        CHECK(status_of(other) == 200);
        REQUIRE(std::min(status_of(first), status_of(second)) == 200);
        REQUIRE(std::max(status_of(first), status_of(second)) == 409);
        const bool is_first = status_of(first) == 200;
        const std::string& lost = (is_first ? second : first)->body;
        CHECK(lost.find(fmt::format("weight = {}\\n",
                                    is_first ? round + 1 : round + 101)) !=
              std::string::npos);
        CHECK(lost.find(fmt::format("weight = {}\\n",
                                    is_first ? round + 101 : round + 1)) !=
              std::string::npos);
        CHECK(ayu.draft().document.find(texts[is_first ? 0 : 1]) !=
              std::string::npos);
    }
}

TEST_CASE("another team's section and a stale digest are refused",
          "[plan_changes]")
{
    const std::unique_ptr<cluster> nodes = make_plan_cluster();
    const admin_caller ayu(nodes->host("a1").admin, "ayu");
    const admin_caller chai(nodes->host("b2").admin, "chai");
    const plan_draft reviewed = write_sections(ayu, chai);
    CHECK(status_of(chai.edit("team.rota", "weight = 9\n", 1)) == 403);
    CHECK(status_of(chai.edit("hosts", "team = \"archive\"\n", 1)) == 403);
    CHECK(status_of(chai.accept(reviewed.digest, 1)) == 403);
    CHECK(status_of(chai.edit("team.archive", "weight = 9\n",
                              version_of(reviewed, "team.archive"))) == 200);
    CHECK(status_of(ayu.accept(reviewed.digest, 1)) == 409);
    CHECK(history_of(ayu).size() == 1);
}

TEST_CASE("the plan cannot be changed outside the break", "[plan_changes]")
{
    // A window that is at least 5 hours away at either end.
    const std::int64_t hour = unix_ms() / 3'600'000 % 24;
    const std::string window = fmt::format("\"{:02}:00-{:02}:00\"",
                                           (hour + 11) % 24, (hour + 13) % 24);
    const std::unique_ptr<cluster> nodes =
        make_cluster()
            .with_more_settings(operator_settings_text)
            .with_plan(plan_with_break(window))
            .build();
    const admin_caller ayu(nodes->host("a1").admin, "ayu");
    const absl::StatusOr<http_response> response =
        ayu.edit("team.rota", "weight = 9\n", 0);
    CHECK(status_of(response) == 403);
    CHECK(response->body.find("break") != std::string::npos);
    CHECK(ayu.draft().sections.empty());
    CHECK_FALSE(ayu.draft().is_break);
}

// Guards against a second acceptance, or none, when the answer of the store
// is lost after the write.
TEST_CASE("an acceptance whose answer is lost is applied once",
          "[plan_changes]")
{
    const unsigned seed = 41;
    std::mt19937 random(seed);
    const std::unique_ptr<cluster> nodes = make_plan_cluster();
    const admin_caller ayu(nodes->host("a1").admin, "ayu");
    const admin_caller budi(nodes->host("b1").admin, "budi");
    const admin_caller chai(nodes->host("b2").admin, "chai");
    (void)write_sections(ayu, chai);
    int answered = 0;
    int written = 0;
    for (int round = 0; round < rounds; ++round)
    {
        const auto delay = std::chrono::milliseconds(random() % 300);
        INFO("seed " << seed << " round " << round << " delay "
                     << delay.count());
        const std::int64_t base = round + 1;
        const std::int64_t section = version_of(budi.draft(), "team.rota");
        REQUIRE(status_of(budi.edit("team.rota",
                                    fmt::format("weight = {}\n", round + 10),
                                    section)) == 200);
        const std::string digest = budi.draft().digest;
        absl::StatusOr<http_response> first;
        nodes->set_links({"a1-store"}, "delay", store_delay_ms);
        std::thread acceptance([&] { first = ayu.accept(digest, base); });
        std::this_thread::sleep_for(delay);
        nodes->set_links({"a1-store"}, "cut_replies");
        acceptance.join();
        const accept_result second = wait_for_acceptance(budi, digest, base);
        nodes->set_links({"a1-store"}, "pass");
        const accept_result third = wait_for_acceptance(ayu, digest, base);
        CHECK(second.record.plan.version == base + 1);
        CHECK(third.record.tx_id == second.record.tx_id);
        CHECK_FALSE(third.is_new);
        answered += parse_accept_result(first) ? 1 : 0;
        written += second.is_new ? 0 : 1;
        if (parse_accept_result(first))
        {
            CHECK(parse_accept_result(first)->record.tx_id ==
                  second.record.tx_id);
            CHECK_FALSE(second.is_new);
        }
        CHECK(history_of(budi).size() == static_cast<std::size_t>(base + 1));
    }
    WARN("of " << rounds << " acceptances " << answered << " were answered, "
               << written << " were written by the host that lost the replies");
}

TEST_CASE("an acceptance whose host is killed is applied at most once",
          "[plan_changes]")
{
    const unsigned seed = 42;
    std::mt19937 random(seed);
    const std::unique_ptr<cluster> nodes = make_plan_cluster();
    const admin_caller ayu(nodes->host("a1").admin, "ayu");
    const admin_caller budi(nodes->host("b1").admin, "budi");
    const admin_caller chai(nodes->host("b2").admin, "chai");
    (void)write_sections(budi, chai);
    int written_before_kill = 0;
    for (int round = 0; round < rounds; ++round)
    {
        const auto delay = std::chrono::milliseconds(random() % 300);
        INFO("seed " << seed << " round " << round << " delay "
                     << delay.count());
        const std::int64_t base = round + 1;
        const std::int64_t section = version_of(budi.draft(), "team.rota");
        REQUIRE(status_of(budi.edit("team.rota",
                                    fmt::format("weight = {}\n", round + 10),
                                    section)) == 200);
        const std::string digest = budi.draft().digest;
        absl::StatusOr<http_response> first;
        nodes->set_links({"a1-store"}, "delay", store_delay_ms);
        std::thread acceptance([&] { first = ayu.accept(digest, base); });
        std::this_thread::sleep_for(delay);
        nodes->host("a1").kill();
        acceptance.join();
        const accept_result second = wait_for_acceptance(budi, digest, base);
        written_before_kill += second.is_new ? 0 : 1;
        if (parse_accept_result(first))
        {
            CHECK_FALSE(second.is_new);
        }
        nodes->set_links({"a1-store"}, "pass");
        nodes->host("a1").start();
        nodes->wait_ready({"a1"});
        const accept_result third = wait_for_acceptance(ayu, digest, base);
        CHECK(second.record.plan.version == base + 1);
        CHECK(third.record.tx_id == second.record.tx_id);
        CHECK(history_of(ayu).size() == static_cast<std::size_t>(base + 1));
        CHECK(history_of(budi).size() == static_cast<std::size_t>(base + 1));
    }
    WARN(written_before_kill << " of " << rounds
                             << " acceptances were written by the host "
                                "that was killed");
}
