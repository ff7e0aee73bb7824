#include "egretspindle/jobs/gang.hpp"
#include "egretspindle/jobs/job_machine.hpp"
#include "egretspindle/jobs/job_record.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <numeric>
#include <random>

using namespace egretspindle;

namespace
{

constexpr std::int64_t now_ms = 1'000'000;
constexpr std::int64_t max_attempts = 2;

job make_gang(std::int64_t size)
{
    job_spec spec;
    spec.steps.emplace_back();
    spec.steps.front().count = size;
    spec.steps.front().is_gang = true;
    return make_job("0123456789abcdef", "queue", spec, now_ms);
}

std::int64_t start_gang(job& value)
{
    const std::vector<due_step> due = due_steps(value);
    REQUIRE(due.size() == 1);
    return assign_gang(value, due.front(), "r1");
}

end_effect end_member(job& value, std::size_t index, std::int64_t run,
                      run_end how,
                      std::optional<std::int64_t> limit = max_attempts)
{
    return end_run(value, {value.id, 0, 0, index}, run, how, "", limit, now_ms);
}

job reload(const job& value)
{
    return *decode_job(value.id, encode_job(value, encode_spec(value.spec)));
}

} // namespace

// Guards against gangs that are given up after one failed run, because several
// of their members failed in it.
TEST_CASE("a run in which several members of a gang fail uses up one attempt",
          "[jobs]")
{
    job value = make_gang(4);
    const std::int64_t first = start_gang(value);
    end_member(value, 2, first, run_end::failed);
    end_member(value, 0, first, run_end::broken);
    end_member(value, 3, first, run_end::failed);
    end_member(value, 1, first, run_end::failed);
    REQUIRE(value.outcome == job_outcome::open);
    CHECK_FALSE(apply_attempt_limit(value, max_attempts, now_ms));
    const std::int64_t second = start_gang(value);
    end_member(value, 1, second, run_end::failed);
    CHECK(value.outcome == job_outcome::failed);
}

// Guards against a count that restarts when the record is read between two ends
// of one run.
TEST_CASE("members that fail in one run count once across a reload", "[jobs]")
{
    job value = make_gang(3);
    const std::int64_t run = start_gang(value);
    end_member(value, 1, run, run_end::failed);
    value = reload(value);
    end_member(value, 2, run, run_end::failed);
    value = reload(value);
    end_member(value, 0, run, run_end::broken);
    CHECK(value.outcome == job_outcome::open);
    CHECK(value.occurrences[0].steps[0].front().failures == 1);
}

// Guards against a gang that goes on beyond its limit, or is given up too
// early, after the limit was not known.
TEST_CASE("the attempts of a gang are limited once the limit is known",
          "[jobs]")
{
    job value = make_gang(3);
    for (std::int64_t n = 1; n <= max_attempts; ++n)
    {
        CHECK_FALSE(apply_attempt_limit(value, max_attempts, now_ms));
        const std::int64_t run = start_gang(value);
        end_member(value, 2, run, run_end::failed, std::nullopt);
        end_member(value, 1, run, run_end::failed, std::nullopt);
        end_member(value, 0, run, run_end::broken, std::nullopt);
    }
    CHECK(apply_attempt_limit(value, max_attempts, now_ms));
    CHECK(value.outcome == job_outcome::failed);
}

// Guards against records of a version without `failed_runs` that cannot be
// read.
TEST_CASE("a record without the failed run of a gang can be read", "[jobs]")
{
    job value = make_gang(2);
    end_member(value, 1, start_gang(value), run_end::failed);
    std::string text = encode_job(value, encode_spec(value.spec));
    const std::string field = ",\"failed_runs\":{\"0.0.0\":1}";
    REQUIRE(text.find(field) != std::string::npos);
    text.erase(text.find(field), field.size());
    const absl::StatusOr<job> read = decode_job(value.id, text);
    REQUIRE(read.ok());
    CHECK(read->occurrences[0].steps[0].front().failures == 1);
}

// Ends of the members arrive in a random order, some twice, some of an earlier
// run, with reloads of the record in between. A gang is closed as failed at the
// end of its `limit`-th run with a failed member, not before and not later.
TEST_CASE("random ends of gang members count each failed run once", "[jobs]")
{
    constexpr std::int64_t limit = 3;
    for (unsigned seed = 1; seed <= 300; ++seed)
    {
        CAPTURE(seed);
        std::minstd_rand random(seed);
        const std::size_t size = 1 + random() % 5;
        job value = make_gang(static_cast<std::int64_t>(size));
        std::int64_t failed_runs = 0;
        for (int n = 0; n < 20 && value.outcome == job_outcome::open; ++n)
        {
            const std::int64_t run = start_gang(value);
            bool is_failed = false;
            std::vector<std::size_t> order(size);
            std::iota(order.begin(), order.end(), std::size_t{0});
            std::shuffle(order.begin(), order.end(), random);
            for (const std::size_t index : order)
            {
                const run_end how =
                    random() % 3 == 0 ? run_end::failed : run_end::broken;
                is_failed |= how == run_end::failed;
                REQUIRE(end_member(value, index, run, how, limit) ==
                        end_effect::changed);
                if (random() % 2 == 0)
                {
                    REQUIRE(end_member(value, index, run, run_end::failed,
                                       limit) == end_effect::none);
                }
                if (run > 1 && random() % 2 == 0)
                {
                    REQUIRE(end_member(value, index, run - 1, run_end::failed,
                                       limit) == end_effect::none);
                }
                if (random() % 3 == 0)
                {
                    value = reload(value);
                }
                const bool is_closed =
                    failed_runs + (is_failed ? 1 : 0) >= limit;
                REQUIRE((value.outcome == job_outcome::failed) == is_closed);
            }
            failed_runs += is_failed ? 1 : 0;
        }
    }
}
