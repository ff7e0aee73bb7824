#include "egretspindle/core/error.hpp"
#include "egretspindle/settings/scheduler_settings.hpp"

#include <catch2/catch.hpp>

using namespace egretspindle;

namespace
{

const std::string required = R"(
[scheduler]
host = "entry-1"
data_center = "bentong-a"
callers = "10.0.0.1:8080"
ready = "10.0.0.1:8081"
peer = "10.0.0.1:8082"
store = "10.0.1.1:9001"
)";

} // namespace

// The pause between reads of the list of targets did not follow the platform.
TEST_CASE("the bound for draining targets is read", "[settings]")
{
    REQUIRE(parse_scheduler_settings(required)->drain_ms == 2'000);
    const absl::StatusOr<scheduler_settings> value =
        parse_scheduler_settings(required + "drain_ms = 3000\n");
    REQUIRE(value.ok());
    REQUIRE(value->drain_ms == 3'000);
    for (const char* wrong : {"-1", "90000", "\"3000\""})
    {
        CAPTURE(wrong);
        REQUIRE_FALSE(
            parse_scheduler_settings(required + "drain_ms = " + wrong + "\n")
                .ok());
    }
}
