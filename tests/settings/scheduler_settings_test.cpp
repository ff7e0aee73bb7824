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

// Guards against a period of target list reads that exceeds the platform's
// bound for draining targets.
TEST_CASE("drain_ms is read and checked", "[settings]")
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

// Guards against a planned stop that takes longer than the platform waits.
TEST_CASE("grace_s is read and checked", "[settings]")
{
    REQUIRE(parse_scheduler_settings(required)->grace_s ==
            Approx(default_grace_s));
    REQUIRE(parse_scheduler_settings(required + "grace_s = 9\n")->grace_s ==
            Approx(9.0));
    REQUIRE(parse_scheduler_settings(required + "grace_s = 2.5\n")->grace_s ==
            Approx(2.5));
    for (const char* wrong : {"-1", "nan", "6000", "\"6\""})
    {
        CAPTURE(wrong);
        REQUIRE_FALSE(
            parse_scheduler_settings(required + "grace_s = " + wrong + "\n")
                .ok());
    }
}

// Guards against racks that are distributed without regard to processor shares:
// hosts with a quarter of a processor got as many racks as the others.
TEST_CASE("processor_share is read and checked", "[settings]")
{
    REQUIRE(parse_scheduler_settings(required)->processor_share == Approx(1.0));
    const absl::StatusOr<scheduler_settings> value =
        parse_scheduler_settings(required + "processor_share = 0.12\n");
    REQUIRE(value.ok());
    REQUIRE(value->processor_share == Approx(0.12));
    REQUIRE(parse_scheduler_settings(required + "processor_share = 2\n")
                ->processor_share == Approx(2.0));
    for (const char* wrong : {"-0.1", "nan", "inf", "true", "\"0.12\"", "9999"})
    {
        CAPTURE(wrong);
        REQUIRE_FALSE(parse_scheduler_settings(
                          required + "processor_share = " + wrong + "\n")
                          .ok());
    }
}

// Guards against settings that pass the check and end the process at its start.
TEST_CASE("malformed addresses are reported", "[settings]")
{
    REQUIRE(parse_scheduler_settings(required).ok());
    for (const char* name : {"callers", "ready", "peer", "store"})
    {
        for (const char* wrong :
             {"nohost:notaport", "nohost:80", "10.0.0.1:0", "10.0.0.1:65536"})
        {
            CAPTURE(name, wrong);
            std::string text = required;
            const std::size_t begin =
                text.find('"', text.find(std::string(name) + " = "));
            const std::size_t end = text.find('"', begin + 1);
            text.replace(begin + 1, end - begin - 1, wrong);
            const absl::Status status = parse_scheduler_settings(text).status();
            REQUIRE_FALSE(status.ok());
            CHECK(std::string(status.message()).find(name) !=
                  std::string::npos);
        }
    }
}
