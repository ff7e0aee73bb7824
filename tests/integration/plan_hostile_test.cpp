#include "admin_caller.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <random>

using namespace egretspindle;
using namespace egretspindle::test;

namespace
{

std::string corrupt(std::string text, std::mt19937& random)
{
    static const std::string characters("[]={}\"'.,#\n\\ \x01\xff\xef-0e:t");
    const unsigned changes = 1 + random() % 5;
    for (unsigned n = 0; n < changes && !text.empty(); ++n)
    {
        const std::size_t at = random() % text.size();
        switch (random() % 4)
        {
        case 0:
            text[at] = characters[random() % characters.size()];
            break;
        case 1:
            text.insert(at, random() % 200,
                        characters[random() % characters.size()]);
            break;
        case 2:
            text.erase(at, random() % 30);
            break;
        default:
            text.insert(at, text.substr(random() % text.size()));
        }
    }
    return text;
}

// Encodes an edit by hand, since the JSON library rejects invalid UTF-8.
std::string raw_edit(const std::string& section, const std::string& text,
                     std::int64_t base)
{
    std::string escaped;
    for (const char c : text)
    {
        if (c == '"' || c == '\\')
        {
            escaped += '\\';
            escaped += c;
        }
        else if (static_cast<unsigned char>(c) < 0x20)
        {
            escaped += fmt::format("\\u{:04x}", static_cast<int>(c));
        }
        else
        {
            escaped += c;
        }
    }
    return fmt::format(R"({{"name":"{}","text":"{}","base_version":{}}})",
                       section, escaped, base);
}

// Returns whether a response is a 4xx status with a kind and a message.
bool is_typed_error(const absl::StatusOr<http_response>& response)
{
    return response.ok() && response->status >= 400 && response->status < 500 &&
           response->body.find("\"kind\":\"") != std::string::npos &&
           response->body.find("\"message\":\"") != std::string::npos;
}

} // namespace

// Guards against malformed input that ends the process, is accepted or changes
// the plan.
TEST_CASE("malformed plans and requests change nothing", "[plan_hostile]")
{
    const unsigned seed = 20261204;
    std::mt19937 random(seed);
    const std::unique_ptr<cluster> nodes =
        make_cluster()
            .with_more_settings(operator_settings_text)
            .with_plan(plan_with_break())
            .build();
    const admin_caller ayu(nodes->host("a1").admin, "ayu");
    const admin_caller chai(nodes->host("a1").admin, "chai");
    const admin_caller nobody(nodes->host("a1").admin, "nobody");
    const plan_draft before = write_sections(ayu, chai);
    const std::string edit = to_json(
        section_edit{"team.rota", "quota = 0.5\nweight = 3\n", 1, false});
    const std::string accept = to_json(accept_request{before.digest, 1});
    for (int n = 0; n < 300; ++n)
    {
        const std::string body = corrupt(n % 2 == 0 ? edit : accept, random);
        INFO("seed " << seed << " case " << n << "\n" << body);
        // Team archive may neither edit the section nor accept.
        CHECK(is_typed_error(
            chai.send("POST", n % 2 == 0 ? "plan/edit" : "plan/accept", body)));
        CHECK(is_typed_error(nobody.send("POST", "plan/edit", body)));
    }
    CHECK(status_of(ayu.send("POST", "plan/edit",
                             std::string(300 * 1024, 'x'))) == 413);
    CHECK(is_typed_error(ayu.send("GET", "explain/" + std::string(4000, 'a'))));
    CHECK(ayu.draft().digest == before.digest);

    // Edits of a section that its team may edit are stored or refused with an
    // error, and no invalid document can be accepted.
    for (int n = 0; n < 300; ++n)
    {
        const std::string text =
            corrupt("team = \"rota\"\ndeadline_ms = 500\n", random);
        INFO("seed " << seed << " case " << n << "\n" << text);
        const std::int64_t base = version_of(ayu.draft(), "service.scratch");
        const absl::StatusOr<http_response> response = ayu.send(
            "POST", "plan/edit", raw_edit("service.scratch", text, base));
        CHECK((status_of(response) == 200 || is_typed_error(response)));
        const absl::StatusOr<http_response> check =
            ayu.send("GET", "plan/check");
        REQUIRE(status_of(check) == 200);
        if (check->body.find("\"valid\":false") != std::string::npos)
        {
            const plan_draft now = ayu.draft();
            CHECK(is_typed_error(ayu.accept(now.digest, 1)));
        }
    }
    for (const std::string& name : nodes->host_names())
    {
        CHECK(admin_caller(nodes->host(name).admin, "ayu").version() == 1);
        CHECK(nodes->host(name).process->is_running());
    }
}
