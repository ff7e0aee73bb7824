#include "egretspindle/logging/log_rate_limit.hpp"

#include <catch2/catch.hpp>

using namespace egretspindle;

// Guards against too many log lines, and against suppressed lines that are not
// counted.
TEST_CASE("one line is permitted per period and reports the suppressed ones",
          "[logging]")
{
    log_rate_limit rate_limit(milliseconds(100));
    const time_point start = steady_clock::now();
    CHECK(rate_limit.try_acquire(start) == 0);
    CHECK_FALSE(rate_limit.try_acquire(start + milliseconds(1)));
    CHECK_FALSE(rate_limit.try_acquire(start + milliseconds(99)));
    CHECK(rate_limit.try_acquire(start + milliseconds(100)) == 2);
    CHECK_FALSE(rate_limit.try_acquire(start + milliseconds(199)));
    CHECK(rate_limit.try_acquire(start + milliseconds(500)) == 1);
}
