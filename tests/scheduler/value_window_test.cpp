#include "egretspindle/scheduler/value_window.hpp"

#include <catch2/catch.hpp>

using namespace egretspindle;

// While a shard moves to another host, no host counts its jobs. Guards against
// telling callers that far fewer jobs wait than do.
TEST_CASE("a count does not drop while its parts move", "[scheduler]")
{
    constexpr milliseconds period{2'000};
    const time_point start = steady_clock::now();
    value_window window;
    CHECK(max_value(window, period, start) == 0);
    add_value(window, 40, period, start);
    add_value(window, 3, period, start + milliseconds(250));
    CHECK(max_value(window, period, start + milliseconds(250)) == 40);
    CHECK(max_value(window, period, start + milliseconds(2'000)) == 40);
    CHECK(max_value(window, period, start + milliseconds(2'001)) == 3);
    add_value(window, 5, period, start + milliseconds(2'500));
    CHECK(window.size() == 1);
}
