#include "egretspindle/core/endpoint.hpp"

#include <catch2/catch.hpp>

#include <string>

using namespace egretspindle;

// Guards against addresses that pass the check of the settings or of a list and
// fail when they are used.
TEST_CASE("only an IPv4 address with a port is an endpoint", "[core]")
{
    const absl::StatusOr<endpoint> value = parse_endpoint("10.0.0.1:65535");
    REQUIRE(value.ok());
    CHECK(value->address == "10.0.0.1");
    CHECK(value->port == 65'535);
    for (const char* text :
         {"", ":80", "10.0.0.1", "10.0.0.1:", "10.0.0.1:0", "10.0.0.1:65536",
          "10.0.0.1:-1", "10.0.0.1:+80", "10.0.0.1:99999999999", "10.0.0.1:8x",
          "10.0.0:80", "10.0.0.256:80", "nohost:80", "nohost:notaport"})
    {
        CAPTURE(text);
        CHECK_FALSE(parse_endpoint(text).ok());
    }
    CHECK_FALSE(parse_endpoint(std::string("10.0.0.1\0:80", 12)).ok());
}

// Guards against log lines of the size of a malformed row.
TEST_CASE("the error for a long text is short", "[core]")
{
    const absl::Status status =
        parse_endpoint(std::string(200'000, 'x')).status();
    CHECK(status.message().size() < 200);
}
