#include "egretspindle/fleet/locate_racks.hpp"

#include <catch2/catch.hpp>

using namespace egretspindle;

namespace
{

target_entry make_entry(const std::string& data_center)
{
    target_entry entry;
    entry.rack = "r1";
    entry.data_center = data_center;
    return entry;
}

} // namespace

// Guards against a wrong entry that moves a rack to the hosts of another data
// centre.
TEST_CASE("the data centre of a rack is the one that most targets name",
          "[fleet]")
{
    std::map<std::string, target_entry> targets;
    CHECK(locate_racks(targets).empty());
    targets["i-1"] = make_entry("b");
    targets["i-2"] = make_entry("b");
    targets["i-3"] = make_entry("a");
    targets["i-9"] = make_entry("z");
    CHECK(locate_racks(targets).at("r1") == "b");
    targets["i-4"] = make_entry("a");
    CHECK(locate_racks(targets).at("r1") == "a");
}
