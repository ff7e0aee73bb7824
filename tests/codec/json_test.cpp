#include "egretspindle/codec/json.hpp"
#include "egretspindle/core/error.hpp"
#include "egretspindle/core/request_reply.hpp"
#include "egretspindle/core/request_spec.hpp"

#include <catch2/catch.hpp>

using namespace egretspindle;

TEST_CASE("a struct survives encoding and decoding", "[codec]")
{
    request_spec spec;
    spec.id = "r-1";
    spec.team = "rota";
    spec.urgent = false;
    spec.size = resources{0.5, 125000.25, 2};
    spec.expected_ms = 5000000000;
    spec.body = "quote \" backslash \\ newline \n tab \t \xE0\xB9\x84 \x01";
    const absl::StatusOr<request_spec> copy =
        from_json<request_spec>(to_json(spec));
    REQUIRE(copy.ok());
    CHECK(copy->id == spec.id);
    CHECK(copy->urgent == false);
    CHECK(copy->size.memory_mb == Approx(125000.25));
    CHECK(copy->size.accelerators == 2);
    CHECK(copy->expected_ms == 5000000000);
    CHECK(copy->body == spec.body);
}

TEST_CASE("a field of the wrong type is named in the error", "[codec]")
{
    const char* texts[] = {
        R"({"id":7})",
        R"({"urgent":"yes"})",
        R"({"expected_ms":"5"})",
        R"({"expected_ms":1.5})",
        R"({"size":3})",
        R"({"size":{"cpu_cores":"many"}})",
        R"({"size":{"accelerators":99999999999}})",
        R"({"expected_ms":99999999999999999999999})",
        R"({"urgent":null})",
        R"([])",
        R"("text")",
        R"(7)",
    };
    for (const char* text : texts)
    {
        CAPTURE(text);
        const absl::StatusOr<request_spec> spec = from_json<request_spec>(text);
        REQUIRE_FALSE(spec.ok());
        CHECK(kind_of(spec.status()) == error_kind::invalid_argument);
    }
}

TEST_CASE("malformed text is rejected", "[codec]")
{
    const std::string deep(100000, '[');
    const std::string texts[] = {"",    "{",          "{\"id\":}", "{} {}",
                                 "nul", "{\"id\":\"", deep};
    for (const std::string& text : texts)
    {
        CAPTURE(text.substr(0, 40));
        const absl::StatusOr<request_spec> spec = from_json<request_spec>(text);
        REQUIRE_FALSE(spec.ok());
        CHECK(kind_of(spec.status()) == error_kind::invalid_argument);
    }
}

TEST_CASE("unknown fields are rejected only on request", "[codec]")
{
    const char* text = R"({"id":"a","colour":"red"})";
    CHECK(from_json<request_spec>(text).ok());
    const absl::StatusOr<request_spec> strict =
        from_json<request_spec>(text, codec::unknown_fields::reject);
    REQUIRE_FALSE(strict.ok());
    CHECK(std::string(strict.status().message()).find("colour") !=
          std::string::npos);
}
