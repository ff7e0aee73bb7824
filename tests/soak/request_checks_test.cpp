// Checks of requests without a response, on made-up records.

#include "made_up_record.hpp"
#include "request_checks.hpp"

#include <catch2/catch.hpp>

using namespace egretspindle::bench;
using namespace egretspindle::test;

namespace
{

std::vector<std::string> failed_checks(const soak_record& record)
{
    std::vector<check_failure> failures;
    check_unanswered_calls(record, failures);
    return names_of(failures);
}

using names = std::vector<std::string>;
const names cut_by_work{"planned work cuts no requests"};
const names cut_in_calm{"calm hosts cut no requests"};

} // namespace

// Guards against a check that misses requests cut by SIGTERM, on new
// connections as well as on reused ones.
TEST_CASE("a request cut beside a planned stop fails the check")
{
    made_up_record record;
    record.add_stop(10'000, 15'800);
    SECTION("on a new connection")
    {
        record.add_cut(15'000, 201);
        CHECK(failed_checks(record.value) == cut_by_work);
    }
    SECTION("on a reused connection")
    {
        record.add_cut(15'000, 201).was_reused = true;
        CHECK(failed_checks(record.value) == cut_by_work);
    }
    SECTION("sent before the signal")
    {
        record.add_cut(9'900, 300);
        CHECK(failed_checks(record.value) == cut_by_work);
    }
    SECTION("until 1 s after the grace of 6 s")
    {
        record.add_cut(16'700, 300);
        CHECK(failed_checks(record.value) == cut_by_work);
    }
    SECTION("but not within 0.2 s after its last byte")
    {
        record.add_cut(15'000, 200);
        CHECK(failed_checks(record.value).empty());
    }
    SECTION("but not when the time of the caller was over")
    {
        record.add_cut(13'000, 2'000);
        CHECK(failed_checks(record.value).empty());
    }
}

// Guards against excuses by faults that cannot keep the host from answering, or
// that ended too long ago.
TEST_CASE("unplanned faults excuse a cut request for 3 s")
{
    made_up_record record;
    record.add_stop(10'000, 15'800);
    record.add_cut(12'000, 300);
    const char* const excuses[] = {"h0",       "h1",    "hosts",  "front-h0",
                                   "store-h1", "store", "targets"};
    for (const char* component : excuses)
    {
        CAPTURE(component);
        record.value.faults.clear();
        record.add_fault(component, 5'000, 9'000);
        CHECK(failed_checks(record.value).empty());
        record.value.faults.clear();
        record.add_fault(component, 5'000, 8'999);
        CHECK(failed_checks(record.value) == cut_by_work);
        record.value.faults.clear();
        record.add_fault(component, 12'300, 13'000);
        CHECK(failed_checks(record.value).empty());
    }
    for (const char* component : {"target-t00", "front-h1"})
    {
        CAPTURE(component);
        record.value.faults.clear();
        record.add_fault(component, 5'000, 14'000);
        CHECK(failed_checks(record.value) == cut_by_work);
    }
}

// Guards against a check that takes planned work for an excuse, or that misses
// requests cut by SIGHUP.
TEST_CASE("a request cut after a reload fails the check")
{
    made_up_record record;
    record.add_fault("reload-h0", 10'000, 10'100, fault_kind::reload);
    record.add_cut(11'999, 1'500);
    CHECK(failed_checks(record.value) == cut_by_work);
}

// Guards against a check that misses requests cut by a new configuration, and
// against one that is stricter than the platform.
TEST_CASE("requests cut beside a new configuration fail the check")
{
    made_up_record record;
    record.add_job("0000000000000001");
    record.add_fault("config", 20'000, 20'000, fault_kind::config);
    SECTION("three times as often as at other times")
    {
        record.add_cut(22'000, 300);
        CHECK(failed_checks(record.value) == cut_by_work);
    }
    SECTION("but not as often as at other times")
    {
        record.add_cut(22'000, 300);
        for (std::int64_t n = 0; n < 10; ++n)
        {
            record.add_cut(30'000 + n * 1'000, 300);
        }
        CHECK(failed_checks(record.value) == names(10, cut_in_calm.front()));
        // Two of 12 within 3 s of a minute: over three times as often.
        record.add_cut(22'500, 300);
        CHECK(failed_checks(record.value).size() == 12);
    }
    SECTION("but not when seven tenths of their time were used")
    {
        record.add_cut(21'000, 1'400);
        CHECK(failed_checks(record.value).empty());
    }
}

// Guards against hosts that drop requests while nothing happens to them.
TEST_CASE("a request cut without any work or fault fails the check")
{
    made_up_record record;
    record.add_cut(20'000, 300);
    CHECK(failed_checks(record.value) == cut_in_calm);
}

// Guards against a host that takes the next request on a connection for the
// rest of the body of the last one.
TEST_CASE("pipelined requests need answers of their own")
{
    made_up_record record;
    unanswered_call& call = record.add_cut(20'000, 2'000);
    call.is_closed = false;
    SECTION("without an answer to an earlier one, the host may be slow")
    {
        CHECK(failed_checks(record.value).empty());
    }
    SECTION("after an answered one")
    {
        call.answered_before = 1;
        CHECK(failed_checks(record.value) ==
              names{"each pipelined request is answered"});
    }
    SECTION("well-formed ones must not be malformed to the host")
    {
        record.add_job("0000000000000001").calls.back().status = 400;
        CHECK(failed_checks(record.value) ==
              names{"well-formed requests are understood"});
    }
}
