#include "egretspindle/adapters/caller_query.hpp"
#include "egretspindle/adapters/caller_request.hpp"
#include "egretspindle/adapters/caller_response.hpp"
#include "egretspindle/codec/json.hpp"
#include "egretspindle/core/error.hpp"
#include "egretspindle/core/utf8.hpp"

#include <catch2/catch.hpp>

#include <random>

using namespace egretspindle;

namespace
{

const std::string valid =
    R"({"id":"d-1","team":"rota","kind":"shift-draft","urgency":"urgent",)"
    R"("idempotent":true,"size":{"cpu_cores":0.5,"memory_mb":64},)"
    R"("body":"ladang \u00e9 \ud83c\udf44"})";

http_request post(const std::string& body)
{
    http_request request;
    request.method = "POST";
    request.path = "/v1/requests";
    request.content_type = "application/json; charset=utf-8";
    request.body = body;
    return request;
}

std::string replaced(std::string text, const std::string& from,
                     const std::string& to)
{
    const std::size_t at = text.find(from);
    REQUIRE(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

error_kind rejection_kind(const std::string& body)
{
    CAPTURE(body.substr(0, 300));
    const absl::StatusOr<caller_request> parsed =
        parse_caller_request(post(body));
    REQUIRE_FALSE(parsed.ok());
    return kind_of(parsed.status());
}

caller_request parse_valid(const std::string& body)
{
    const absl::StatusOr<caller_request> parsed =
        parse_caller_request(post(body));
    INFO(parsed.status());
    REQUIRE(parsed.ok());
    return *parsed;
}

} // namespace

// Guards against defaults that differ from the documented ones.
TEST_CASE("a submission is read with its defaults", "[adapters]")
{
    const caller_request urgent = parse_valid(valid);
    CHECK(urgent.spec.deadline_ms == 5900);
    CHECK(urgent.wait_ms == 5900);
    CHECK_FALSE(urgent.spec.checkpointable);
    CHECK(urgent.spec.body == "ladang \xC3\xA9 \xF0\x9F\x8D\x84");
    const caller_request batch =
        parse_valid(replaced(valid, "\"urgent\"", "\"batch\""));
    CHECK(batch.spec.deadline_ms == 0);
    CHECK(batch.wait_ms == 0);
    CHECK(batch.spec.checkpointable);
    CHECK_FALSE(batch.spec.urgent);
}

// Guards against invalid values that later stages would have to reject or would
// misinterpret.
TEST_CASE("every field is checked", "[adapters]")
{
    const std::pair<const char*, const char*> edits[] = {
        {R"("id":"d-1")", R"("id":"")"},
        {R"("id":"d-1")", R"("id":"a/b")"},
        {R"("id":"d-1")", R"("id":"..")"},
        {R"("id":"d-1")", R"("id":"a\u0000b")"},
        {R"("id":"d-1")", R"("id":7)"},
        {R"("id":"d-1",)", ""},
        {R"("id":"d-1")", R"("id":"d-1","id":"d-2")"},
        {R"("id":"d-1")", R"("id":"d-1","colour":"red")"},
        {R"("team":"rota")", R"("team":"rota team")"},
        {R"("kind":"shift-draft")", R"("kind":null)"},
        {R"("urgent")", R"("Urgent")"},
        {R"(true)", R"("true")"},
        {R"("idempotent":true,)", ""},
        {R"("cpu_cores":0.5)", R"("cpu_cores":0)"},
        {R"("cpu_cores":0.5)", R"("cpu_cores":-1)"},
        {R"("cpu_cores":0.5)", R"("cpu_cores":1e999)"},
        {R"("cpu_cores":0.5)", R"("cpu_cores":NaN)"},
        {R"("cpu_cores":0.5,)", ""},
        {R"("memory_mb":64)", R"("memory_mb":1e300)"},
        {R"("memory_mb":64)", R"("memory_mb":64,"accelerators":-1)"},
        {R"("memory_mb":64)", R"("memory_mb":64,"accelerators":0.5)"},
        {R"("memory_mb":64)", R"("memory_mb":64,"slots":1)"},
        {R"("body")", R"("wait_ms":-1,"body")"},
        {R"("body")", R"("wait_ms":1.5,"body")"},
        {R"("body")", R"("deadline_ms":0,"body")"},
        {R"("body")", R"("deadline_ms":99999999999999999999,"body")"},
        {R"("body")", R"("expected_ms":-1,"body")"},
        {"ladang", "\xC3"},
        {"ladang", "\xED\xA0\x80"},
        {"ladang", "\xC0\xAF"},
        {"ladang", "\xFF"},
        {"ladang", "\x80"},
        {"ladang", "\xF5\x80\x80\x80"},
        {"ladang", R"(\ud800)"},
        {"ladang", R"(\udf44\ud83c)"},
    };
    for (const auto& [from, to] : edits)
    {
        CHECK(rejection_kind(replaced(valid, from, to)) ==
              error_kind::invalid_argument);
    }
    const std::string message(
        parse_caller_request(post(replaced(valid, "ladang", "\xFF")))
            .status()
            .message());
    CHECK(message.find("encode text as UTF-8") != std::string::npos);
    const std::string long_id(129, 'a');
    CHECK(rejection_kind(replaced(valid, "d-1", long_id)) ==
          error_kind::invalid_argument);
}

// Guards against bounds that are off by one or count the wrong bytes.
TEST_CASE("sizes are bounded", "[adapters]")
{
    const std::string limit(1024 * 1024, 'x');
    const std::string rest = R"( \u00e9 \ud83c\udf44)";
    CHECK(parse_valid(replaced(valid, "ladang" + rest, limit)).spec.body ==
          limit);
    CHECK(rejection_kind(replaced(valid, "ladang" + rest, limit + "x")) ==
          error_kind::too_large);
    CHECK(rejection_kind(std::string(2 * 1024 * 1024 + 1, ' ')) ==
          error_kind::too_large);
    http_request request = post(valid);
    request.content_type = "text/plain";
    CHECK(kind_of(parse_caller_request(request).status()) ==
          error_kind::unsupported_media_type);
}

// Guards against a crash or an untyped error, and against an accepted request
// that breaks the documented bounds.
TEST_CASE("damaged submissions give a typed error", "[adapters]")
{
    const unsigned seed = 20261205;
    INFO("seed " << seed);
    std::mt19937 random(seed);
    const char alphabet[] = "{}[]\":,\\u0019eE+-.\x01\x80\xC3\xFF ntf";
    int rejected = 0;
    for (int n = 0; n < 600; ++n)
    {
        std::string text = valid;
        for (unsigned edits = 1 + random() % 4; edits > 0; --edits)
        {
            const std::size_t at = random() % text.size();
            const char c = alphabet[random() % (sizeof(alphabet) - 1)];
            switch (random() % 3)
            {
            case 0:
                text[at] = c;
                break;
            case 1:
                text.insert(at, 1 + random() % 70, c);
                break;
            default:
                text.erase(at, 1 + random() % 20);
            }
        }
        const absl::StatusOr<caller_request> parsed =
            parse_caller_request(post(text));
        CAPTURE(text);
        if (parsed.ok())
        {
            CHECK(parsed->spec.id.size() <= 128);
            CHECK(is_valid_utf8(parsed->spec.body));
            CHECK(parsed->spec.deadline_ms == 5900);
            continue;
        }
        ++rejected;
        CHECK(kind_of(parsed.status()) == error_kind::invalid_argument);
        CHECK(parse_json(format_error(parsed.status()).body).ok());
    }
    CHECK(rejected > 300);
}

// Guards against a query for another request than the one in the path.
TEST_CASE("queries are read from path and parameters", "[adapters]")
{
    http_request request;
    request.path = "/v1/requests/rota/d-1";
    request.query = {{"wait_ms", "250"}};
    const absl::StatusOr<caller_query> query = parse_caller_query(request);
    REQUIRE(query.ok());
    CHECK(query->key == "rota/d-1");
    CHECK(query->wait_ms == 250);
    for (const char* wait : {"", "-1", "1.5", "x", "99999999999999999999"})
    {
        request.query = {{"wait_ms", wait}};
        CHECK(kind_of(parse_caller_query(request).status()) ==
              error_kind::invalid_argument);
    }
    request.query.clear();
    for (const char* path :
         {"/v1/requests/rota", "/v1/requests", "/v2/requests/rota/d-1", ""})
    {
        request.path = path;
        CHECK(kind_of(parse_caller_query(request).status()) ==
              error_kind::not_found);
    }
    for (const char* path : {"/v1/requests/rota/", "/v1/requests//d-1",
                             "/v1/requests/rota/d-1/x", "/v1/requests/../d-1"})
    {
        request.path = path;
        CHECK(kind_of(parse_caller_query(request).status()) ==
              error_kind::invalid_argument);
    }
}

// Guards against status codes that mislead a caller about whether its work ran.
TEST_CASE("replies carry the outcome and the status code", "[adapters]")
{
    request_reply reply{"rota/d-1", outcome::done, "a\"\n\xC3\xA9", "", 0,
                        2,          "t-1"};
    const http_response done = format_reply(reply);
    CHECK(done.status == 200);
    CHECK(done.body ==
          R"({"id":"d-1","outcome":"done","answer":"a\"\n)"
          "\\u00E9"
          R"(","reason":"","retry_after_ms":0,"attempt":2,"target":"t-1"})");
    reply.result = outcome::not_run;
    reply.retry_after_ms = 1200;
    const http_response not_run = format_reply(reply);
    CHECK(not_run.status == 503);
    REQUIRE(not_run.headers.size() == 1);
    CHECK(not_run.headers[0] ==
          std::pair<std::string, std::string>("Retry-After", "2"));
    const std::pair<outcome, int> codes[] = {{outcome::accepted, 202},
                                             {outcome::running, 202},
                                             {outcome::failed, 200},
                                             {outcome::cancelled, 200},
                                             {outcome::unknown, 200}};
    for (const auto& [result, code] : codes)
    {
        reply.result = result;
        CHECK(format_reply(reply).status == code);
    }
}

// Guards against error bodies that are not valid JSON when the message contains
// special characters or invalid UTF-8.
TEST_CASE("errors are formatted with their kind", "[adapters]")
{
    const http_response response = format_error(
        make_error(error_kind::conflict, "id \"x\"\n\xFF\x01 was used"));
    CHECK(response.status == 409);
    const absl::StatusOr<json_document> document = parse_json(response.body);
    REQUIRE(document.ok());
    const json_value* error = find_member(document->root(), "error");
    REQUIRE(error != nullptr);
    const json_value* kind = find_member(*error, "kind");
    REQUIRE(kind != nullptr);
    REQUIRE(kind->IsString());
    CHECK(text_of(*kind) == "conflict");
    CHECK(format_error(absl::InternalError("x")).status == 500);
    CHECK(http_status_of(error_kind::overloaded) == 429);
    CHECK(http_status_of(error_kind::unavailable) == 503);
}
