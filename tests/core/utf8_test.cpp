#include "egretspindle/core/utf8.hpp"

#include <catch2/catch.hpp>

using namespace egretspindle;

// Guards against accepting byte sequences that other programs reject or decode
// as a different character.
TEST_CASE("only the shortest encoding of a Unicode character is valid",
          "[core]")
{
    for (const char* text :
         {"", "a", "\xC2\x80", "\xE0\xA0\x80", "\xED\x9F\xBF", "\xEF\xBF\xBF",
          "\xF0\x90\x80\x80", "\xF4\x8F\xBF\xBF"})
    {
        CAPTURE(text);
        CHECK(is_valid_utf8(text));
    }
    for (const char* text :
         {"\x80", "\xC1\xBF", "\xC3", "\xC3(", "\xE0\x9F\xBF", "\xED\xA0\x80",
          "\xF0\x8F\xBF\xBF", "\xF4\x90\x80\x80", "\xF5\x80\x80\x80", "\xFF",
          "\xE2\x82"})
    {
        CAPTURE(text);
        CHECK_FALSE(is_valid_utf8(text));
    }
    CHECK(replace_invalid_utf8("a\xFF\xC3\xA9\xC3") == "a?\xC3\xA9?");
}
