// Release builds define NDEBUG.
#ifndef NDEBUG
#define NDEBUG
#endif

#include "egretspindle/core/toml.hpp"

#include <catch2/catch.hpp>

// Without the assertions this text is undefined behaviour.
TEST_CASE("malformed TOML is an error in release builds", "[core]")
{
    REQUIRE_THROWS_AS(toml::parse("[=x]"), toml::parse_error);
    REQUIRE(toml::parse("a = 1")["a"].value<int>() == 1);
}
