#include "egretspindle/core/error.hpp"
#include "egretspindle/plan/parse_plan.hpp"

#include <catch2/catch.hpp>

#include <random>
#include <string>

using namespace egretspindle;

namespace
{

const std::string valid_plan = R"([team.rota]
quota = 0.6
urgent_floor = 0.3
batch_floor = 0.1
max_queue = 500
[team.archive]
weight = 2
batch_floor = 0.4
[service.shift_draft]
team = "rota"
deadline_ms = 2000
[batch.conversion]
team = "archive"
priority = 60
[hosts]
team = "rota"
leaving = ["t-1"]
[break]
team = "rota"
windows = ["11:30-12:00", "23:00-01:00"]
)";

std::string replace_once(std::string text, const std::string& from,
                         const std::string& to)
{
    const std::size_t at = text.find(from);
    REQUIRE(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

bool has_problem(const std::string& text, const std::string& section,
                 const std::string& part)
{
    for (const plan_problem& problem : validate_plan(text, {}))
    {
        if (problem.section == section &&
            problem.message.find(part) != std::string::npos)
        {
            return true;
        }
    }
    return false;
}

} // namespace

TEST_CASE("all sections of a valid plan are read", "[plan]")
{
    const absl::StatusOr<plan_document> document = parse_plan(valid_plan);
    REQUIRE(document.ok());
    CHECK(document->teams.at("rota").quota == 0.6);
    CHECK(document->teams.at("rota").max_queue == 500);
    CHECK(document->teams.at("archive").weight == 2);
    CHECK(document->services.at("shift_draft").deadline_ms == 2000);
    CHECK(document->batches.at("conversion").priority == 60);
    CHECK(document->hosts.leaving == std::vector<std::string>{"t-1"});
    REQUIRE(document->breaks.windows.size() == 2);
    CHECK(document->breaks.windows[0].from_minute == 11 * 60 + 30);
}

// Guards against an operator having to submit a plan once for each error.
TEST_CASE("all errors of a plan are listed", "[plan]")
{
    std::string text = replace_once(valid_plan, "quota = 0.6", "quota = 1.5");
    text = replace_once(text, "priority = 60", "pririty = 60");
    text = replace_once(text, "team = \"archive\"", "team = \"nobody\"");
    CHECK(has_problem(text, "team.rota", "`quota` must be a number"));
    CHECK(has_problem(text, "batch.conversion", "unknown key `pririty`"));
    CHECK(has_problem(text, "batch.conversion", "unknown team `nobody`"));
    const absl::StatusOr<plan_document> document = parse_plan(text);
    REQUIRE_FALSE(document.ok());
    CHECK(kind_of(document.status()) == error_kind::invalid_argument);
}

TEST_CASE("each kind of error is reported for its section", "[plan]")
{
    struct invalid_plan
    {
        const char* from;
        const char* to;
        const char* section;
        const char* part;
    };
    const invalid_plan cases[] = {
        {"batch_floor = 0.4", "batch_floor = 0.7", "", "sum to 1.100"},
        {"quota = 0.6", "quota = 0.2", "team.rota", "above the quota"},
        {"weight = 2", "weight = nan", "team.archive", "`weight` must be"},
        {"max_queue = 500", "max_queue = 1.5", "team.rota", "integer"},
        {"deadline_ms = 2000", "deadline_ms = \"2s\"", "service.shift_draft",
         "milliseconds"},
        {"\"11:30-12:00\"", "\"11:30-24:00\"", "break", "windows[0]"},
        {"\"11:30-12:00\"", "\"11:30-11:31\"", "break", "windows[0]"},
        {"\"23:00-01:00\"", "\"1:00-02:00\"", "break", "windows[1]"},
        {"[\"11:30-12:00\", \"23:00-01:00\"]", "[]", "break", "at least one"},
        {"[hosts]", "[host]", "hosts", "add the section"},
        {"[\"t-1\"]", "[\"t-1\", \"t-1\"]", "hosts", "twice"},
        {"[\"t-1\"]", "\"t-1\"", "hosts", "array of strings"},
        {"[batch.conversion]", "[batch.shift_draft]", "service.shift_draft",
         "remove one"},
        {"[team.rota]", "[team.\"a b\"]", "team", "[team.NAME]"},
        {"[team.rota]", "[team.rota", "", "not TOML"},
    };
    for (const invalid_plan& invalid : cases)
    {
        const std::string text =
            replace_once(valid_plan, invalid.from, invalid.to);
        INFO(text);
        CHECK(has_problem(text, invalid.section, invalid.part));
        CHECK_FALSE(parse_plan(text).ok());
    }
}

TEST_CASE("a leaving host must be on the host list", "[plan]")
{
    plan_context context;
    context.known_hosts = std::set<std::string>{"t-1", "t-2"};
    CHECK(validate_plan(valid_plan, context).empty());
    context.known_hosts = std::set<std::string>{"t-2"};
    REQUIRE(validate_plan(valid_plan, context).size() == 1);
    CHECK(validate_plan(valid_plan, context)[0].message.find("`t-1`") !=
          std::string::npos);
}

// Guards against a document that exhausts memory or the stack of the parser.
TEST_CASE("oversized and deeply nested plans are refused", "[plan]")
{
    CHECK(has_problem(valid_plan + std::string(max_plan_bytes, '#'), "",
                      "shorten"));
    const std::string nested(5000, '[');
    CHECK(has_problem("x = " + nested, "", "not TOML"));
}

TEST_CASE("a break window can cross midnight", "[plan]")
{
    const break_section breaks = parse_plan(valid_plan)->breaks;
    const auto at = [](int hour, int minute)
    {
        return (hour * 60LL + minute) * 60'000;
    };
    CHECK(is_in_break(breaks, at(11, 30)));
    CHECK_FALSE(is_in_break(breaks, at(12, 0)));
    CHECK(is_in_break(breaks, at(23, 59)));
    CHECK(is_in_break(breaks, at(0, 59)));
    CHECK_FALSE(is_in_break(breaks, at(1, 0)));
}

// Guards against malformed text that triggers an assertion of the TOML parser,
// which would end the process.
TEST_CASE("randomly damaged plans are parsed or refused", "[plan]")
{
    const unsigned seed = 20261204;
    std::mt19937 random(seed);
    const std::string characters = "[]={}\"'.,#\n\\ \1\xff\xef-0e:t";
    CHECK_FALSE(parse_plan("[=x]").ok());
    for (int n = 0; n < 500; ++n)
    {
        std::string text = valid_plan;
        const unsigned changes = 1 + random() % 4;
        for (unsigned i = 0; i < changes; ++i)
        {
            const std::size_t at = random() % text.size();
            const char c = characters[random() % characters.size()];
            switch (random() % 3)
            {
            case 0:
                text[at] = c;
                break;
            case 1:
                text.insert(at, random() % 3 + 1, c);
                break;
            default:
                text.erase(at, random() % 20);
            }
        }
        INFO("seed " << seed << " case " << n << "\n" << text);
        const absl::StatusOr<plan_document> document = parse_plan(text);
        CHECK(document.ok() == validate_plan(text, {}).empty());
        if (!document.ok())
        {
            CHECK(kind_of(document.status()) == error_kind::invalid_argument);
        }
    }
}
