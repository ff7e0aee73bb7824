#include "egretspindle/net/http_server.hpp"

#include "http_store.hpp"
#include "support/free_port.hpp"

#include <catch2/catch.hpp>

#include <string>

using namespace egretspindle;

namespace
{

std::string body_with_rows(int count)
{
    std::string body = R"({"rows":[)";
    for (int n = 0; n < count; ++n)
    {
        const std::string number = std::to_string(n + 1);
        body += n > 0 ? "," : "";
        body += R"({"table":"servers","part":"","key":"t)" + number +
                R"(","value":"","rowVersion":)" + number + "}";
    }
    return body + R"(],"rowVersion":)" + std::to_string(count) + "}";
}

bool has_more_after(int rows)
{
    const unsigned short port = test::free_port();
    http_server server(http_limits{},
                       [rows](const http_request&)
                       {
                           http_response response;
                           response.status = 200;
                           response.body = body_with_rows(rows);
                           return response;
                       });
    REQUIRE(server.start("127.0.0.1", port).ok());
    platform::http_store store(endpoint{"127.0.0.1", port});
    const absl::StatusOr<table_page> page =
        store.watch("servers", 0, std::chrono::milliseconds(100));
    REQUIRE(page.ok());
    REQUIRE(page->rows.size() == static_cast<std::size_t>(rows));
    return page->has_more;
}

} // namespace

// The feed cuts its pages without a mark, and a reader that takes a full page
// for all changes falls behind a fleet of 490 targets.
TEST_CASE("a full page of changes is followed by more", "[platform]")
{
    REQUIRE(has_more_after(500));
    REQUIRE_FALSE(has_more_after(499));
}
