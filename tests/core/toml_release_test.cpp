// Release builds define NDEBUG, which must not disable the assertions of
// toml++.
#ifndef NDEBUG
#define NDEBUG
#endif

#include "egretspindle/core/toml.hpp"

#include <catch2/catch.hpp>

// Without the assertions, parsing this text is undefined behaviour.
TEST_CASE("malformed TOML is an error in release builds", "[core]")
{
    REQUIRE_THROWS_AS(toml::parse("[=x]"), toml::parse_error);
    REQUIRE(toml::parse("a = 1")["a"].value<int>() == 1);
}
