#include "egretspindle/adapters/host_list_client.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>

using namespace egretspindle;

// Guards against hosts that stop following the list because of one odd entry.
TEST_CASE("an odd entry of the host list is left out", "[adapters]")
{
    for (const char* odd :
         {"5", "null", "[]", R"({"name":5})", R"({"role":"target"})",
          R"({"name":"t-0","role":"target","address":"10.0.0.1:65536"})",
          R"({"name":"t-0","role":"target","address":"nohost:80"})",
          R"({"name":"t-0","slots":9223372036854775808})",
          R"({"name":"t-0","slots":9223372036854775807})",
          R"({"name":"t-0","cpu_cores":"many"})"})
    {
        CAPTURE(odd);
        const absl::StatusOr<std::vector<host_entry>> hosts = decode_host_list(
            fmt::format(R"({{"hosts":[{{"name":"t-1","role":"target",)"
                        R"("address":"10.0.0.1:80"}},{},)"
                        R"({{"name":"a1","role":"entry"}}]}})",
                        odd));
        REQUIRE(hosts.ok());
        REQUIRE(hosts->size() == 2);
        CHECK(hosts->front().name == "t-1");
        CHECK(hosts->back().name == "a1");
    }
    CHECK_FALSE(decode_host_list("{").ok());
    CHECK_FALSE(decode_host_list("{}").ok());
}
