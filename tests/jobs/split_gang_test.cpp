#include "egretspindle/jobs/gang.hpp"
#include "egretspindle/jobs/job_machine.hpp"
#include "egretspindle/jobs/job_record.hpp"

#include <catch2/catch.hpp>

using namespace egretspindle;

namespace
{

job make_gang(std::int64_t size)
{
    job_spec spec;
    spec.steps.emplace_back();
    spec.steps.front().count = size;
    spec.steps.front().is_gang = true;
    return make_job("0123456789abcdef", "queue", spec, 1'000);
}

void end_member(job& value, std::size_t index, std::int64_t run, run_end how)
{
    REQUIRE(end_run(value, {value.id, 0, 0, index}, run, how, "", 2, 1'000) ==
            end_effect::changed);
}

} // namespace

// Guards against a new owner of the shard that sends the members of a gang to
// other racks, or takes a part of it for the whole.
TEST_CASE("the parts of a split gang share a run and survive a reload",
          "[jobs]")
{
    job value = make_gang(3);
    const std::vector<std::string> racks{"r1", "r2", "r1"};
    REQUIRE(assign_gang(value, due_steps(value).front(), racks) == 1);
    value = *decode_job(value.id, encode_job(value, encode_spec(value.spec)));
    const std::vector<assigned_run> runs = assigned_runs(value);
    REQUIRE(runs.size() == 3);
    for (std::size_t n = 0; n < runs.size(); ++n)
    {
        CHECK(runs[n].rack == racks[n]);
        CHECK(runs[n].run == 1);
    }
    CHECK(tasks_in_same_rack(value, {value.id, 0, 0, 0}) == 2);
    CHECK(tasks_in_same_rack(value, {value.id, 0, 0, 1}) == 1);
}

// Guards against members that wait for others which were handed back, and
// against a gang that is assigned again while some of its runs go on.
TEST_CASE("the rest of a split gang is to be stopped once a member has ended",
          "[jobs]")
{
    job value = make_gang(3);
    const std::vector<std::string> racks{"r1", "r2", "r1"};
    assign_gang(value, due_steps(value).front(), racks);
    REQUIRE(runs_without_gang(value).empty());
    end_member(value, 1, 1, run_end::not_started);
    CHECK(runs_without_gang(value) ==
          std::set<std::string>{value.id + ".0.0.0", value.id + ".0.0.2"});
    CHECK(due_steps(value).empty());
    end_member(value, 0, 1, run_end::stopped);
    end_member(value, 2, 1, run_end::not_started);
    CHECK(runs_without_gang(value).empty());
    REQUIRE(due_steps(value).size() == 1);
    CHECK(assign_gang(value, due_steps(value).front(), "r3") == 2);
    CHECK(runs_without_gang(value).empty());
}

// Guards against stops of gangs in one rack, whose target or rack ends them.
TEST_CASE("the rest of a gang in one rack is left to its rack", "[jobs]")
{
    job value = make_gang(2);
    assign_gang(value, due_steps(value).front(), "r1");
    end_member(value, 0, 1, run_end::failed);
    CHECK(runs_without_gang(value).empty());
}

// Guards against stops of a gang that is done: one end `done` stands for all.
TEST_CASE("a split gang that is done has nothing to stop", "[jobs]")
{
    job value = make_gang(2);
    assign_gang(value, due_steps(value).front(),
                std::vector<std::string>{"r1", "r2"});
    end_member(value, 1, 1, run_end::done);
    CHECK(runs_without_gang(value).empty());
    CHECK(value.outcome == job_outcome::completed);
}
