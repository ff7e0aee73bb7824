#include "loopback_member.hpp"
#include "memory_store.hpp"

#include <catch2/catch.hpp>

#include <memory>

using namespace egretspindle;
using test::eventually;
using test::loopback_member;

namespace
{

using member_ptr = std::unique_ptr<loopback_member>;

std::size_t live_count(const member_ptr& member)
{
    return member->service.live_hosts("a").size();
}

} // namespace

// Guards against a host that cannot join while the store is down.
TEST_CASE("members join through seeds and detect a stopped host",
          "[membership]")
{
    std::vector<member_ptr> members;
    members.push_back(
        std::make_unique<loopback_member>("h1", std::vector<std::string>{}));
    const std::vector<std::string> seeds{members[0]->address()};
    members.push_back(std::make_unique<loopback_member>("h2", seeds));
    members.push_back(std::make_unique<loopback_member>("h3", seeds));
    for (const member_ptr& member : members)
    {
        member->start();
    }
    for (const member_ptr& member : members)
    {
        REQUIRE(eventually([&] { return live_count(member) == 3; }));
    }
    CHECK(members[1]->service.address_of("h3") == members[2]->address());
    members[2]->stop();
    CHECK(eventually([&] { return live_count(members[0]) == 2; }));
    CHECK(eventually([&] { return live_count(members[1]) == 2; }));
}

// Guards against a host that cannot join without seeds, and against rows that
// are written repeatedly without a change.
TEST_CASE("members join through the rows of the store", "[membership]")
{
    test::memory_store store;
    std::vector<member_ptr> members;
    for (const char* name : {"h1", "h2"})
    {
        members.push_back(std::make_unique<loopback_member>(
            name, std::vector<std::string>{}, &store));
        members.back()->start();
    }
    CHECK(eventually([&] { return live_count(members[0]) == 2; }));
    CHECK(eventually([&] { return live_count(members[1]) == 2; }));
    CHECK(eventually([&] { return store.writes == 2; }));
}

// Guards against a planned stop that other members detect only by probes.
TEST_CASE("leave notifies other members before it returns", "[membership]")
{
    std::vector<member_ptr> members;
    members.push_back(
        std::make_unique<loopback_member>("h1", std::vector<std::string>{}));
    members.push_back(std::make_unique<loopback_member>(
        "h2", std::vector<std::string>{members[0]->address()}));
    for (const member_ptr& member : members)
    {
        member->start();
    }
    REQUIRE(eventually([&] { return live_count(members[0]) == 2; }));
    REQUIRE(eventually([&] { return live_count(members[1]) == 2; }));
    members[1]->service.leave();
    CHECK(members[0]->service.find("h2")->state == "leaving");
    CHECK(live_count(members[0]) == 1);
}
