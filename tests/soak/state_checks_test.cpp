// Checks of the states of jobs, on made-up records.

#include "made_up_record.hpp"
#include "state_checks.hpp"

#include <catch2/catch.hpp>

using namespace egretspindle::bench;
using namespace egretspindle::test;

namespace
{

std::vector<std::string> failed_checks(const soak_record& record)
{
    std::vector<check_failure> failures;
    check_shown_states(record, failures);
    return names_of(failures);
}

using names = std::vector<std::string>;
const names has_no_cause{"failures and cancellations have a cause"};

job_call shown(const char* state, std::int64_t at)
{
    return {
        "GET", "h0", 200, state, soak_begun_ms + at - 10, soak_begun_ms + at};
}

} // namespace

// Guards against jobs that are given up although their tasks could run.
TEST_CASE("a job shown as failed without failed runs fails the check")
{
    made_up_record record;
    soak_job& job = record.add_job("0000000000000001");
    record.add_run("0000000000000001.0.0.0", "t00", 2'000, 3'000, "failed");
    job.calls.push_back(shown("failed", 5'000));
    CHECK(failed_checks(record.value) == has_no_cause);
}

// Guards against jobs that are cancelled by something else than their client.
TEST_CASE("a job shown as cancelled needs a cancellation")
{
    made_up_record record;
    soak_job& job = record.add_job("0000000000000001");
    SECTION("none was sent")
    {
        job.calls.push_back(shown("cancelled", 5'000));
        CHECK(failed_checks(record.value) == has_no_cause);
    }
    SECTION("it was sent, though not answered")
    {
        job.calls.push_back(
            {"DELETE", "h0", 0, "", soak_begun_ms + 4'000, soak_begun_ms});
        job.calls.push_back(shown("cancelled", 5'000));
        CHECK(failed_checks(record.value).empty());
    }
}

// Guards against a final state that is taken back.
TEST_CASE("a final state stays")
{
    made_up_record record;
    soak_job& job = record.add_job("0000000000000001");
    job.calls.push_back(shown("completed", 5'000));
    job.calls.push_back(shown("completed", 6'000));
    CHECK(failed_checks(record.value).empty());
    job.calls.push_back(shown("running", 7'000));
    CHECK(failed_checks(record.value) == names{"final states stay"});
    record.add_fault("target-t00", 5'000, 7'000);
    CHECK(failed_checks(record.value) == names{"final states stay"});
    // A former owner may have been paused.
    record.add_fault("h1", 2'000, 4'000);
    CHECK(failed_checks(record.value).empty());
}

// Guards against accepted jobs that nobody can ask for after the load.
TEST_CASE("an accepted job that gets no answer at the end fails the check")
{
    made_up_record record;
    record.add_job("0000000000000001").is_known_at_end = false;
    CHECK(failed_checks(record.value) ==
          names{"accepted jobs are answered at the end"});
}
