#include "egretspindle/core/error.hpp"
#include "egretspindle/logging/log.hpp"
#include "egretspindle/settings/settings_builder.hpp"

#include <catch2/catch.hpp>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <random>

using namespace egretspindle;

namespace
{

constexpr const char* valid = R"(
[host]
name = "entry-1"
data_center = "bentong-a"
region = "pahang-west"
[listen]
caller = "10.0.0.1:8080"
peer = "10.0.0.1:8081"
admin = "10.0.0.1:8082"
[cluster]
key = "0123456789abcdef"
seeds = ["10.0.0.2:8081"]
[cluster.addresses]
entry-2 = "127.0.0.1:9999"
[platform]
store = "10.0.1.1:9001"
host_list = "10.0.1.1:9002"
[timing]
lease_ms = 3000
[[operators]]
name = "aminah"
team = "rota"
role = "supervisor"
token = "aminah-token-0123456789"
)";

std::string replaced(std::string text, const std::string& from,
                     const std::string& to)
{
    const std::size_t at = text.find(from);
    REQUIRE(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

std::string error_of(const std::string& text)
{
    const absl::StatusOr<settings> value = parse_settings(text);
    REQUIRE_FALSE(value.ok());
    CHECK(kind_of(value.status()) == error_kind::invalid_argument);
    return std::string(value.status().message());
}

} // namespace

// Guards against settings that are read into the wrong member or lose their
// defaults.
TEST_CASE("valid settings are read with defaults", "[settings]")
{
    const absl::StatusOr<settings> value = parse_settings(valid);
    INFO(value.status());
    REQUIRE(value.ok());
    CHECK(value->host.data_center == "bentong-a");
    CHECK(value->advertise_peer == "10.0.0.1:8081");
    CHECK(value->cluster.seeds == std::vector<std::string>{"10.0.0.2:8081"});
    CHECK(value->cluster.addresses.at("entry-2") == "127.0.0.1:9999");
    CHECK(value->timing.lease_ms == 3000);
    CHECK(value->timing.renew_ms == 1000);
    CHECK(value->operators.at(0).role == operator_role::supervisor);
    CHECK(value->log.format == "logfmt");
}

// Guards against a report that stops at the first error, so that an operator
// corrects a file one start at a time.
TEST_CASE("every error is listed in one message", "[settings]")
{
    std::string text =
        replaced(valid, "caller = \"10.0.0.1:8080\"", "caller = \"rota:80\"");
    text = replaced(text, "lease_ms = 3000", "lease_ms = 2\nleese_ms = 1");
    text = replaced(text, "role = \"supervisor\"", "role = \"boss\"");
    text = replaced(text, "store = \"10.0.1.1:9001\"", "");
    const std::string message = error_of(text + "\n[colour]\nred = 1\n");
    CAPTURE(message);
    for (const char* expected :
         {"listen.caller: found \"rota:80\"", "timing.lease_ms: found 2",
          "timing.leese_ms: found an unknown key", "operators[0].role",
          "platform.store: found nothing", "colour: found an unknown key"})
    {
        CAPTURE(expected);
        CHECK(message.find(expected) != std::string::npos);
    }
}

// Guards against contradictions that only show when the process runs.
TEST_CASE("settings that contradict each other are rejected", "[settings]")
{
    const std::string text = valid;
    CHECK(error_of(replaced(text, "lease_ms = 3000", "lease_ms = 1500"))
              .find("renew_ms") != std::string::npos);
    CHECK(error_of(replaced(text, "10.0.0.1:8082", "10.0.0.1:8080"))
              .find("listen.admin") != std::string::npos);
    CHECK(error_of(replaced(text, "peer = \"10.0.0.1", "peer = \"0.0.0.0"))
              .find("advertise.peer") != std::string::npos);
    CHECK(error_of(text + "[limits]\nmax_threads = 100\n")
              .find("max_urgent_in_service") != std::string::npos);
}

// Guards against a secret that is printed with an error about it.
TEST_CASE("error messages contain no secrets", "[settings]")
{
    const std::string text = replaced(valid, "0123456789abcdef", "hunter2-key");
    CHECK(error_of(text).find("hunter2") == std::string::npos);
    const std::string both =
        replaced(valid, "token = ", "token_file = \"t\"\ntoken = ");
    CHECK(error_of(both).find("aminah-token") == std::string::npos);
}

// Guards against a key file that is read with its line feed or from another
// directory, and against secrets that reach the log of the process.
TEST_CASE("secrets come from files and are hidden in logs", "[settings]")
{
    char directory[] = "/tmp/egretspindle-settings-XXXXXX";
    REQUIRE(::mkdtemp(directory) != nullptr);
    const std::string base = std::string(directory) + "/";
    std::ofstream(base + "cluster.key") << "fedcba9876543210\n";
    std::ofstream(base + "settings.toml") << replaced(
        valid, "key = \"0123456789abcdef\"", "key_file = \"cluster.key\"");
    const absl::StatusOr<settings> value =
        load_settings(base + "settings.toml");
    for (const char* name : {"cluster.key", "settings.toml", ""})
    {
        CHECK(std::remove((base + name).c_str()) == 0);
    }
    INFO(value.status());
    REQUIRE(value.ok());
    CHECK(value->cluster.key == "fedcba9876543210");
    std::string line = "key fedcba9876543210 token aminah-token-0123456789";
    redact_secrets(line);
    CHECK(line == "key [redacted] token [redacted]");
}

// Guards against a tool that writes settings which the process rejects.
TEST_CASE("formatted settings are read back", "[settings]")
{
    timing_settings timing;
    timing.lease_ms = 3210;
    const settings value =
        make_settings()
            .with_host("entry-9", "karak-b")
            .with_seed("127.0.0.1:7001")
            .with_member_address("entry-2", "127.0.0.1:7002")
            .with_operator("aminah", "rota", operator_role::supervisor,
                           "aminah-token-0123456789")
            .with_timing(timing)
            .build();
    const absl::StatusOr<settings> copy =
        parse_settings(format_settings(value));
    INFO(copy.status());
    REQUIRE(copy.ok());
    CHECK(copy->host.name == "entry-9");
    CHECK(copy->timing.lease_ms == 3210);
    CHECK(copy->cluster.addresses == value.cluster.addresses);
    CHECK(copy->operators.at(0).token == value.operators[0].token);
}

// Guards against the assertion of toml++ 3.3 that ends the process.
TEST_CASE("a malformed table header gives a typed error", "[settings]")
{
    CHECK(error_of("[=host]\nname = \"a\"\n").find("table header") !=
          std::string::npos);
}

// Guards against a crash or an untyped exception on a damaged file.
TEST_CASE("damaged settings give a typed error", "[settings]")
{
    const unsigned seed = 20261204;
    INFO("seed " << seed);
    std::mt19937 random(seed);
    int rejected = 0;
    for (int n = 0; n < 300; ++n)
    {
        std::string text = valid;
        for (unsigned edits = 1 + random() % 3; edits > 0; --edits)
        {
            text[random() % text.size()] = static_cast<char>(random() % 256);
        }
        const absl::StatusOr<settings> value = parse_settings(text);
        if (!value.ok())
        {
            ++rejected;
            CHECK(kind_of(value.status()) == error_kind::invalid_argument);
        }
    }
    CHECK(rejected > 100);
}
