#include "egretspindle/core/error.hpp"
#include "egretspindle/core/rendezvous_hash.hpp"
#include "egretspindle/core/request_spec.hpp"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace egretspindle;

TEST_CASE("a status preserves its error kind", "[core]")
{
    const absl::Status status =
        make_error(error_kind::stale_epoch, "reread the ownership row");
    CHECK(kind_of(status) == error_kind::stale_epoch);
    CHECK(kind_of(absl::InternalError("x")) == error_kind::internal);
}

TEST_CASE("removing a candidate reassigns only its own keys", "[core]")
{
    const std::vector<std::string> all{"a1", "a2", "a3", "a4"};
    const std::vector<std::string> fewer{"a1", "a2", "a4"};
    int reassigned = 0;
    for (int n = 0; n < 1000; ++n)
    {
        const std::string key = "key-" + std::to_string(n);
        const std::string& before = all[rendezvous_choice(key, all)];
        const std::string& after = fewer[rendezvous_choice(key, fewer)];
        if (before == "a3")
        {
            ++reassigned;
        }
        else
        {
            REQUIRE(before == after);
        }
    }
    CHECK(reassigned > 150);
    CHECK(reassigned < 350);
}

TEST_CASE(
    "requests with the same id and different bodies have different digests",
    "[core]")
{
    request_spec first;
    first.id = "r";
    first.body = "a";
    request_spec second = first;
    CHECK(digest_of(first) == digest_of(second));
    second.body = "b";
    CHECK(digest_of(first) != digest_of(second));
}
