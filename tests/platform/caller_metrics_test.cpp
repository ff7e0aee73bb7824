#include "caller_metrics.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>

using namespace egretspindle;
using namespace egretspindle::platform;

namespace
{

bool has_line(const metric_registry& registry, const std::string& line)
{
    return registry.prometheus_text().find("\n" + line + "\n") !=
           std::string::npos;
}

} // namespace

// Guards against series that are created by unusual methods or statuses.
TEST_CASE("replies are counted by method and status", "[platform]")
{
    metric_registry registry;
    const caller_metrics metrics(registry);
    const std::string before = registry.prometheus_text();
    metrics.observe_reply("POST", 200, milliseconds(7));
    metrics.observe_reply("POST", 503, milliseconds(9));
    metrics.observe_reply("GET", 410, milliseconds(1));
    metrics.observe_reply("BREW", 418, milliseconds(1));
    metrics.observe_reply("", 200, milliseconds(1));
    const std::string head = "egretspindle_caller_replies_total{method=\"";
    CHECK(has_line(registry, head + "POST\",status=\"200\"} 1"));
    CHECK(has_line(registry, head + "POST\",status=\"503\"} 1"));
    CHECK(has_line(registry, head + "GET\",status=\"410\"} 1"));
    CHECK(has_line(registry, head + "GET\",status=\"200\"} 0"));
    CHECK(has_line(registry, head + "other\",status=\"other\"} 1"));
    CHECK(has_line(registry, head + "other\",status=\"200\"} 1"));
    CHECK(has_line(registry,
                   "egretspindle_caller_milliseconds_sum{method=\"POST\"} 16"));
    const std::string after = registry.prometheus_text();
    CHECK(std::count(after.begin(), after.end(), '\n') ==
          std::count(before.begin(), before.end(), '\n'));
}
