#include "egretspindle/logging/log_rate_limit.hpp"

#include <catch2/catch.hpp>

using namespace egretspindle;

// Guards against a flood of lines, and against lines that vanish uncounted.
TEST_CASE("one line passes per period and names those left out", "[logging]")
{
    log_rate_limit lines(milliseconds(100));
    const time_point start = steady_clock::now();
    CHECK(lines.try_acquire(start) == 0);
    CHECK_FALSE(lines.try_acquire(start + milliseconds(1)));
    CHECK_FALSE(lines.try_acquire(start + milliseconds(99)));
    CHECK(lines.try_acquire(start + milliseconds(100)) == 2);
    CHECK_FALSE(lines.try_acquire(start + milliseconds(199)));
    CHECK(lines.try_acquire(start + milliseconds(500)) == 1);
}
