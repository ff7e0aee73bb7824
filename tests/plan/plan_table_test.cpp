#include "egretspindle/core/error.hpp"
#include "egretspindle/plan/plan_digest.hpp"
#include "egretspindle/plan/plan_table.hpp"

#include <catch2/catch.hpp>

#include <string>
#include <thread>
#include <vector>

using namespace egretspindle;

namespace
{

accepted_plan make_plan(std::int64_t version, int max_queue)
{
    accepted_plan plan;
    plan.version = version;
    plan.document = "[team.rota]\nmax_queue = " + std::to_string(max_queue) +
                    "\n[hosts]\nteam = \"rota\"\n[break]\nteam = \"rota\"\n"
                    "windows = [\"11:30-12:00\"]\n";
    plan.digest = plan_digest(plan.document);
    return plan;
}

} // namespace

TEST_CASE("the digest is SHA-256", "[plan]")
{
    CHECK(plan_digest("abc") == "ba7816bf8f01cfea414140de5dae2223"
                                "b00361a396177a9cb410ff61f20015ad");
}

// Guards against a delayed reply with an earlier plan.
TEST_CASE("a lower version is never applied", "[plan]")
{
    plan_table table;
    CHECK(table.current() == nullptr);
    CHECK(*table.offer(make_plan(3, 30)) == plan_offer_result::applied);
    CHECK(*table.offer(make_plan(2, 20)) == plan_offer_result::older);
    CHECK(*table.offer(make_plan(3, 30)) == plan_offer_result::in_force);
    CHECK(table.version() == 3);
    CHECK(table.current()->document.teams.at("rota").max_queue == 30);
}

TEST_CASE("a different document of the same version is refused", "[plan]")
{
    plan_table table;
    CHECK(table.offer(make_plan(1, 10)).ok());
    const absl::StatusOr<plan_offer_result> result =
        table.offer(make_plan(1, 11));
    REQUIRE_FALSE(result.ok());
    CHECK(kind_of(result.status()) == error_kind::conflict);
    CHECK(table.current()->document.teams.at("rota").max_queue == 10);
}

TEST_CASE("a damaged or invalid plan is not applied", "[plan]")
{
    plan_table table;
    CHECK(table.offer(make_plan(1, 10)).ok());
    accepted_plan damaged = make_plan(2, 20);
    damaged.document += "#";
    CHECK_FALSE(table.offer(damaged).ok());
    accepted_plan invalid = make_plan(2, 20);
    invalid.document = "[team.rota]\nquota = 7\n";
    invalid.digest = plan_digest(invalid.document);
    CHECK_FALSE(table.offer(invalid).ok());
    CHECK_FALSE(table.offer(make_plan(0, 20)).ok());
    CHECK(table.version() == 1);
}

// Guards against two offers that are both compared before either is applied.
TEST_CASE("concurrent offers leave the highest version", "[plan]")
{
    plan_table table;
    std::vector<std::thread> threads;
    for (int first = 1; first <= 4; ++first)
    {
        threads.emplace_back(
            [&table, first]
            {
                std::int64_t seen = 0;
                for (int version = first; version <= 200; version += 4)
                {
                    if (!table.offer(make_plan(version, version)).ok() ||
                        table.version() < seen)
                    {
                        std::abort();
                    }
                    seen = table.version();
                }
            });
    }
    for (std::thread& thread : threads)
    {
        thread.join();
    }
    CHECK(table.version() == 200);
}
