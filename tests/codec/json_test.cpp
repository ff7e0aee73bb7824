#include "egretspindle/codec/json.hpp"
#include "egretspindle/core/error.hpp"
#include "egretspindle/core/request_reply.hpp"
#include "egretspindle/core/request_spec.hpp"

#include <catch2/catch.hpp>

#include <cmath>
#include <cstring>
#include <limits>
#include <random>

using namespace egretspindle;

namespace
{

/// Struct with one field of each supported type.
struct sample
{
    double number = -7;
    std::int64_t integer = -7;
    std::uint64_t size = 7;
    std::string text = "default";
    bool flag = true;
    std::vector<double> list;
    std::map<std::string, std::int64_t> counts;
};

template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const sample* /*tag*/)
{
    visit("number", value.number);
    visit("integer", value.integer);
    visit("size", value.size);
    visit("text", value.text);
    visit("flag", value.flag);
    visit("list", value.list);
    visit("counts", value.counts);
}

/// Struct with a nested sample and a list of samples.
struct nested_sample
{
    sample inner;
    std::vector<sample> samples;
};

template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const nested_sample* /*tag*/)
{
    visit("inner", value.inner);
    visit("samples", value.samples);
}

sample decode(std::string_view text)
{
    CAPTURE(text);
    const absl::StatusOr<sample> value = from_json<sample>(text);
    INFO(value.status());
    REQUIRE(value.ok());
    return *value;
}

std::string message_of(const absl::Status& status)
{
    REQUIRE_FALSE(status.ok());
    CHECK(kind_of(status) == error_kind::invalid_argument);
    return std::string(status.message());
}

std::string decode_error(std::string_view text)
{
    CAPTURE(text);
    return message_of(from_json<sample>(text).status());
}

std::string nested_lists(int depth)
{
    return std::string(static_cast<std::size_t>(depth), '[') +
           std::string(static_cast<std::size_t>(depth), ']');
}

} // namespace

TEST_CASE("a struct is unchanged by encoding and decoding", "[codec]")
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

// Guards against errors that do not name the field or the expected type.
TEST_CASE("an error names the field and the expected type", "[codec]")
{
    const std::pair<const char*, const char*> cases[] = {
        {R"({"number":"1"})", "field 'number' must be a number"},
        {R"({"number":null})", "field 'number' must be a number"},
        {R"({"number":NaN})", "field 'number' must be a number"},
        {R"({"number":Infinity})", "field 'number' must be a number"},
        {R"({"number":-Infinity})", "field 'number' must be a number"},
        {R"({"integer":null})", "field 'integer' must be an integer"},
        {R"({"integer":true})", "field 'integer' must be an integer"},
        {R"({"integer":1e3})", "field 'integer' must be an integer"},
        {R"({"integer":1.0})", "field 'integer' must be an integer"},
        {R"({"integer":"1"})", "field 'integer' must be an integer"},
        {R"({"integer":NaN})", "field 'integer' must be an integer"},
        {R"({"integer":9223372036854775808})",
         "field 'integer' must be an integer of at most 64 bits"},
        {R"({"integer":-9223372036854775809})",
         "field 'integer' must be an integer of at most 64 bits"},
        {R"({"integer":99999999999999999999999})",
         "field 'integer' must be an integer of at most 64 bits"},
        {R"({"size":-1})", "field 'size' must be an integer in range"},
        {R"({"size":18446744073709551615})",
         "field 'size' must be an integer of at most 64 bits"},
        {R"({"text":null})", "field 'text' must be a string"},
        {R"({"text":5})", "field 'text' must be a string"},
        {R"({"flag":null})", "field 'flag' must be true or false"},
        {R"({"flag":0})", "field 'flag' must be true or false"},
        {R"({"flag":"true"})", "field 'flag' must be true or false"},
        {R"({"list":null})", "field 'list' must be an array"},
        {R"({"list":{}})", "field 'list' must be an array"},
        {R"({"list":[1,"x"]})", "field 'list[1]' must be a number"},
        {R"({"counts":null})", "field 'counts' must be an object"},
        {R"({"counts":[]})", "field 'counts' must be an object"},
        {R"({"counts":{"a":1,"b":"x"}})",
         "field 'counts.b' must be an integer"},
        {"null", "field '(document)' must be an object"},
        {"[]", "field '(document)' must be an object"},
    };
    for (const auto& [text, message] : cases)
    {
        CHECK(decode_error(text) == message);
    }
    CHECK(
        message_of(
            from_json<nested_sample>(R"({"samples":[{},{"counts":{"a":[]}}]})")
                .status()) == "field 'samples[1].counts.a' must be an integer");
    CHECK(message_of(
              from_json<std::vector<sample>>(R"([{"text":1}])").status()) ==
          "field '[0].text' must be a string");
    CHECK(message_of(from_json<nested_sample>(R"({"inner":{"colour":1}})",
                                              codec::unknown_fields::reject)
                         .status()) ==
          "unknown field 'inner.colour'; remove it or use one of: counts, "
          "flag, integer, list, number, size, text");
}

// Guards against integers that lose precision in floating point.
TEST_CASE("64-bit integers are exact", "[codec]")
{
    CHECK(decode(R"({"integer":9223372036854775807})").integer ==
          std::numeric_limits<std::int64_t>::max());
    CHECK(decode(R"({"integer":-9223372036854775808})").integer ==
          std::numeric_limits<std::int64_t>::min());
    CHECK(decode(R"({"integer":-0})").integer == 0);
    CHECK(decode(R"({"size":9223372036854775807})").size ==
          9223372036854775807U);
    CHECK(to_json(std::numeric_limits<std::int64_t>::min()) ==
          "-9223372036854775808");
    CHECK(to_json(std::numeric_limits<std::uint64_t>::max()) ==
          "18446744073709551615");
}

// Guards against doubles that change in transit, and against a ".0" that makes
// a receiver reject a whole number for an integer field.
TEST_CASE("doubles are unchanged by encoding and decoding", "[codec]")
{
    CHECK(decode(R"({"number":-1.5E+2})").number == -150);
    CHECK(decode(R"({"number":7})").number == 7);
    CHECK(decode(R"({"number":1e-999})").number == 0);
    CHECK(to_json(125000.0) == "125000");
    CHECK(to_json(1e18) == "1000000000000000000");
    CHECK(to_json(-2.5) == "-2.5");
    CHECK(to_json(std::nan("")) == "null");
    CHECK(to_json(std::numeric_limits<double>::infinity()) == "null");
    std::vector<double> values{0.1,   1.0 / 3, 5e-324, 1.7976931348623157e308,
                               1e300, -1e-7,   1e22,   9007199254740993.0};
    std::mt19937_64 random(17);
    while (values.size() < 5000)
    {
        const std::uint64_t bits = random();
        double value = 0;
        std::memcpy(&value, &bits, sizeof value);
        if (std::isfinite(value))
        {
            values.push_back(value);
        }
    }
    const absl::StatusOr<std::vector<double>> copy =
        from_json<std::vector<double>>(to_json(values));
    REQUIRE(copy.ok());
    CHECK(*copy == values);
}

// Guards against text that changes in transit. All positions of a special
// character are tested, because plain text is written in blocks.
TEST_CASE("text is unchanged by encoding and decoding", "[codec]")
{
    CHECK(
        decode(R"({"text":"\"\\\/\b\f\n\r\t\u0000\u00e9\uD83C\uDF44"})").text ==
        std::string("\"\\/\b\f\n\r\t\0\xC3\xA9"
                    "\xF0\x9F\x8D\x84",
                    15));
    CHECK(decode("{\"text\":\"\xC3\xA9\xE0\xB9\x84\"}").text ==
          "\xC3\xA9\xE0\xB9\x84");
    CHECK(to_json(std::string("\xC3\xA9\xF0\x9F\x8D\x84")) ==
          R"("\u00E9\uD83C\uDF44")");
    for (int code = 0; code < 256; ++code)
    {
        const std::string symbol =
            code < 0x80
                ? std::string(1, static_cast<char>(code))
                : std::string("\xC3") + static_cast<char>(0x80 | (code & 0x3F));
        for (std::size_t n = 0; n < 20; ++n)
        {
            const std::string text =
                std::string(n, 'x') + symbol + std::string(19 - n, 'y');
            const absl::StatusOr<std::string> copy =
                from_json<std::string>(to_json(text));
            REQUIRE(copy.ok());
            REQUIRE(*copy == text);
        }
    }
}

// Guards against invalid JSON, or an exception, for text that is not UTF-8.
TEST_CASE("invalid UTF-8 is replaced in output and rejected in input",
          "[codec]")
{
    CHECK(to_json(std::string("a\xFF\xC3z\xED\xA0\x80")) == R"("a??z???")");
    for (const char* bytes : {"\xFF", "\xC3", "\xC0\xAF", "\xED\xA0\x80",
                              "plain text\x80", "\xF5\x80\x80\x80"})
    {
        decode_error(std::string(R"({"text":")") + bytes + R"("})");
    }
    for (const char* escape :
         {R"(\ud800)", R"(\ud800x)", R"(\ud800\u0041)", R"(\udf44\ud83c)",
          R"(\udf44)", R"(\uDC00x)", R"(\u00g0)", R"(\x)"})
    {
        decode_error(std::string(R"({"text":")") + escape + R"("})");
    }
}

// Guards against a search for members that depends on their order or looks into
// nested objects.
TEST_CASE("members are found in any order, and the first of a name is used",
          "[codec]")
{
    const sample mixed =
        decode(R"({"flag":false,"x":{"text":"no"},"text":"yes","integer":1,)"
               R"("number":2,"text":"late","number":3,"Flag":true})");
    CHECK_FALSE(mixed.flag);
    CHECK(mixed.text == "yes");
    CHECK(mixed.integer == 1);
    CHECK(mixed.number == 2);
    CHECK(mixed.size == 7);
    CHECK(decode(R"({"number":1,"number":2,"integer":3})").number == 1);
    CHECK(decode(R"({"counts":{"a":1,"a":2}})").counts ==
          std::map<std::string, std::int64_t>{{"a", 1}});
    CHECK(decode("{}").text == "default");
    CHECK(decode("{}").flag);
}

// Guards against accepting malformed text, or ignoring text after a document.
TEST_CASE("exactly one complete document is accepted", "[codec]")
{
    CHECK(decode(" \t\r\n{ \"integer\" : 1 } \n").integer == 1);
    CHECK(decode("\xEF\xBB\xBF{\"integer\":1}").integer == 1);
    CHECK(decode("/* a */{\"integer\":1,}").integer == 1);
    CHECK(decode(R"({"x":[null,{"y":NaN}],"integer":1})").integer == 1);
    for (const char* text :
         {"{}x", "{}{}", "{} 1", "{}]", "{}//", "null null", "1 2"})
    {
        CHECK(decode_error(text) ==
              "text follows the JSON document; send one document");
    }
    CHECK(decode_error(std::string_view("{}\0", 3)) ==
          "text follows the JSON document; send one document");
    for (const char* text :
         {"", " ", "{", "}", "{,}", "{\"text\"}", "{\"text\":}",
          "{\"text\":\"a}", "{\"text\":'a'}", "{\"integer\":1 \"size\":2}",
          "{\"integer\":-}", "{\"integer\":0x1}", "[1 2]", "tru", "/*",
          "{\"number\":1e999}", "{\"number\":inf}"})
    {
        CHECK(decode_error(text).find("malformed JSON") == 0);
    }
    decode_error(std::string_view("{\"text\":\"a\0b\"}", 14));
}

// Guards against a stack overflow in the parser and an off-by-one error in the
// limit.
TEST_CASE("the nesting depth is limited", "[codec]")
{
    CHECK(decode(R"({"x":)" + nested_lists(63) + "}").integer == -7);
    for (const std::string& text :
         {R"({"x":)" + nested_lists(64) + "}", nested_lists(65),
          std::string(1'000'000, '[')})
    {
        CHECK(decode_error(text) == "JSON is nested more than 64 levels deep; "
                                    "flatten it");
    }
    // Consecutive brackets, and brackets in strings, are not nested.
    std::string flat = R"({"text":"[[[[{{{{","x":[)";
    for (int n = 0; n < 200; ++n)
    {
        flat += n > 0 ? ",[[]]" : "{}";
    }
    CHECK(decode(flat + "]}").text == "[[[[{{{{");
}
