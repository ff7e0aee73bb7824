#include "simulated_owners.hpp"

#include <catch2/catch.hpp>

using namespace egretspindle;
using test::simulated_owners;
using test::store_mode;

namespace
{

constexpr milliseconds second{1000};

void start(simulated_owners& owners, int racks = 12)
{
    owners.add_racks(racks);
    for (const char* name : {"h1", "h2", "h3"})
    {
        owners.add(name);
    }
    owners.run_for(5 * second);
}

/// Returns any rack for which the host is preferred.
std::string any_rack_of(simulated_owners& owners, const std::string& name)
{
    const std::vector<std::string> racks = owners.racks_of(name);
    REQUIRE_FALSE(racks.empty());
    return racks.front();
}

void kill(simulated_owners& owners, const std::string& name)
{
    owners.hosts.at(name).is_running = false;
    owners.set_running_live();
}

} // namespace

// Guards against racks with no owner or several, and against writes to the
// store while nothing changes.
TEST_CASE("each rack gets one owner without further writes", "[ownership]")
{
    simulated_owners owners;
    start(owners);
    for (int n = 0; n < 12; ++n)
    {
        const std::string rack = "r" + std::to_string(n);
        CHECK(owners.owner(rack) ==
              preferred_host({"a", rack},
                             std::vector<std::string>{"h1", "h2", "h3"}));
    }
    const int writes = owners.writes;
    const int reads = owners.reads;
    owners.run_for(60 * second);
    CHECK(owners.writes == writes);
    // Each owner reads the row of its rack every 2 s (`row_read_period`).
    CHECK(owners.reads - reads <= 12 * 31);
    CHECK(owners.reads - reads >= 12 * 28);
}

// Guards against racks that have no owner after their host has failed.
TEST_CASE("racks of a failed owner are acquired with a higher epoch",
          "[ownership]")
{
    simulated_owners owners;
    start(owners);
    const std::string rack = any_rack_of(owners, "h1");
    kill(owners, "h1");
    owners.run_for(second / 2);
    const std::string new_owner = owners.owner(rack);
    REQUIRE((new_owner == "h2" || new_owner == "h3"));
    const owned_rack& owned = *owners.owned(new_owner, rack);
    CHECK(owned.token == fencing_token{2, 0});
    CHECK(owned.previous_owner == "h1");
    CHECK_FALSE(owned.previous_released);
    CHECK(owners.has_unique_tokens());
}

// Guards against two hosts that own a rack with the same epoch, since each of
// them considers itself the only live host.
TEST_CASE("of two hosts that acquire a rack only one gets the epoch",
          "[ownership]")
{
    simulated_owners owners;
    owners.add_racks(12);
    owners.add("h1");
    owners.add("h2");
    owners.hosts.at("h1").live = {"h1"};
    owners.hosts.at("h2").live = {"h2"};
    owners.run_for(20 * second);
    CHECK(owners.has_unique_tokens());
    owners.set_running_live();
    owners.run_for(5 * second);
    for (int n = 0; n < 12; ++n)
    {
        const std::string owner = owners.owner("r" + std::to_string(n));
        CHECK((owner == "h1" || owner == "h2"));
    }
}

// Guards against two hosts that reach the store, but not each other, and take a
// rack from each other at every reread of its row.
TEST_CASE("hosts that consider each other dead do not compete for racks",
          "[ownership]")
{
    simulated_owners owners;
    owners.add_racks(12);
    owners.add("h1");
    owners.add("h2");
    owners.run_for(5 * second);
    owners.hosts.at("h1").live = {"h1"};
    owners.hosts.at("h2").live = {"h2"};
    const int writes = owners.writes;
    owners.run_for(25 * second);
    // The owner of each rack changes once, when it is considered dead.
    CHECK(owners.writes - writes <= 12);
    CHECK(owners.has_unique_tokens());
    for (int n = 0; n < 12; ++n)
    {
        CHECK(owners.owner("r" + std::to_string(n)) != "several");
    }
}

// Guards against treating a commit whose reply is lost as a failure. The row
// would then name an owner that does not serve the rack.
TEST_CASE("a commit with a lost reply is resolved by reading the row",
          "[ownership]")
{
    simulated_owners owners;
    owners.mode = store_mode::loses_replies;
    start(owners, 4);
    for (int n = 0; n < 4; ++n)
    {
        const std::string rack = "r" + std::to_string(n);
        const std::string owner = owners.owner(rack);
        REQUIRE(owner != "none");
        REQUIRE(owner != "several");
        CHECK_FALSE(owners.owned(owner, rack)->claims_only);
    }
    CHECK(owners.writes == 4);
    CHECK(owners.has_unique_tokens());
}

// Guards against treating a timeout as a success.
TEST_CASE("a lost write does not make the host an owner", "[ownership]")
{
    simulated_owners owners;
    owners.mode = store_mode::loses_writes;
    start(owners, 4);
    CHECK(owners.owner("r0") == "none");
    owners.mode = store_mode::up;
    owners.run_for(2 * second);
    CHECK(owners.owner("r0") != "none");
    CHECK(owners.writes == 4);
}

// Guards against racks that move at every restart of a host, and against all of
// them moving at the same time.
TEST_CASE(
    "a live owner keeps its rack for 30 s after the preferred host returns",
    "[ownership]")
{
    simulated_owners owners;
    start(owners);
    kill(owners, "h3");
    owners.run_for(2 * second);
    owners.add("h3", 9000);
    owners.run_for(25 * second);
    CHECK(owners.count("h3", ownership_change::acquired) == 0);
    owners.run_for(30 * second);
    const std::vector<std::string> racks = owners.racks_of("h3");
    REQUIRE(racks.size() >= 2);
    std::vector<time_point> times;
    for (const std::string& rack : racks)
    {
        CHECK(owners.owner(rack) == "h3");
        times.push_back(owners.owned("h3", rack)->acquired);
        CHECK(owners.owned("h3", rack)->previous_released);
    }
    std::sort(times.begin(), times.end());
    for (std::size_t n = 1; n < times.size(); ++n)
    {
        CHECK(times[n] - times[n - 1] >= second);
    }
}

// Guards against a host that resumes from a pause and uses an ownership that
// another host has acquired in the meantime.
TEST_CASE("a resumed host owns no rack until it has read the rows",
          "[ownership]")
{
    simulated_owners owners;
    start(owners);
    const std::string rack = any_rack_of(owners, "h2");
    owners.hosts.at("h2").is_paused = true;
    owners.run_for(3 * second);
    owners.hosts.at("h2").is_paused = false;
    const int lost_before = owners.count("h2", ownership_change::lost);
    owners.hosts.at("h2").delays_reads = true;
    owners.tick("h2");
    CHECK(owners.count("h2", ownership_change::lost) > lost_before);
    CHECK(owners.owned("h2", rack) == nullptr);
    owners.deliver_delayed_reads("h2");
    REQUIRE(owners.owned("h2", rack) != nullptr);
    CHECK(owners.owned("h2", rack)->token == fencing_token{1, 0});
}

// Guards against restoring an ownership from the result of a read that was sent
// before a pause.
TEST_CASE("a read from before a pause restores no ownership", "[ownership]")
{
    simulated_owners owners;
    start(owners);
    const std::string rack = any_rack_of(owners, "h2");
    owners.hosts.at("h2").delays_reads = true;
    owners.run_for(3 * second);
    REQUIRE_FALSE(owners.hosts.at("h2").delayed_reads.empty());
    owners.hosts.at("h2").is_paused = true;
    owners.hosts.at("h1").live = {"h1", "h3"};
    owners.hosts.at("h3").live = {"h1", "h3"};
    owners.run_for(3 * second);
    REQUIRE(owners.owner(rack) == "several");
    owners.hosts.at("h2").is_paused = false;
    owners.tick("h2");
    owners.deliver_delayed_reads("h2");
    CHECK(owners.owned("h2", rack) == nullptr);
    owners.run_for(3 * second);
    CHECK((owners.owner(rack) == "h1" || owners.owner(rack) == "h3"));
    CHECK(owners.has_unique_tokens());
}

// Guards against owners that give up their racks during an outage of the store.
TEST_CASE("owners keep their racks during an outage of the store",
          "[ownership]")
{
    simulated_owners owners;
    start(owners);
    owners.mode = store_mode::down;
    owners.run_for(60 * second);
    for (const auto& [name, host] : owners.hosts)
    {
        CHECK(owners.count(name, ownership_change::lost) == 0);
    }
}

// Guards against a rack without an owner when its host fails during an outage
// of the store, and against claims before the leases of that host have expired.
TEST_CASE("targets of a failed owner are claimed during an outage of the store",
          "[ownership]")
{
    simulated_owners owners;
    start(owners);
    const std::string rack = any_rack_of(owners, "h1");
    owners.mode = store_mode::down;
    owners.run_for(10 * second);
    const time_point died = owners.now;
    kill(owners, "h1");
    owners.run_for(5 * second);
    CHECK(owners.owner(rack) == "none");
    owners.run_for(3 * second);
    const std::string new_owner = owners.owner(rack);
    REQUIRE((new_owner == "h2" || new_owner == "h3"));
    const owned_rack claimed = *owners.owned(new_owner, rack);
    CHECK(claimed.claims_only);
    CHECK(claimed.claims.size() == 2);
    CHECK(claimed.claims.at(rack + "-t0") == fencing_token{1, 1});
    CHECK(claimed.acquired - died >= milliseconds(5900));
    owners.mode = store_mode::up;
    owners.run_for(3 * second);
    REQUIRE(owners.owner(rack) == new_owner);
    CHECK_FALSE(owners.owned(new_owner, rack)->claims_only);
    CHECK(owners.owned(new_owner, rack)->token == fencing_token{2, 0});
    CHECK(owners.has_unique_tokens());
}

// Guards against a rack that remains divided between two hosts that claimed its
// targets while they could not reach each other.
TEST_CASE("of two hosts with claims one owns the rack after the outage",
          "[ownership]")
{
    simulated_owners owners;
    start(owners);
    const std::string rack = any_rack_of(owners, "h1");
    owners.mode = store_mode::down;
    owners.run_for(3 * second);
    kill(owners, "h1");
    owners.hosts.at("h2").live = {"h2"};
    owners.hosts.at("h3").live = {"h3"};
    // Each host reaches one of the two targets.
    owners.targets.at(rack + "-t1").lease_until = owners.now + 60 * second;
    owners.hosts.at("h3").is_paused = true;
    owners.run_for(8 * second);
    REQUIRE(owners.owned("h2", rack) != nullptr);
    REQUIRE(owners.owned("h2", rack)->claims.size() == 1);
    owners.hosts.at("h3").is_paused = false;
    owners.hosts.at("h2").is_paused = true;
    owners.targets.at(rack + "-t1").lease_until = owners.now;
    owners.targets.at(rack + "-t0").lease_until = owners.now + 60 * second;
    owners.run_for(3 * second);
    REQUIRE(owners.owned("h3", rack) != nullptr);
    REQUIRE(owners.owned("h3", rack)->claims_only);
    owners.hosts.at("h2").state.last_decision = owners.now;
    owners.hosts.at("h2").is_paused = false;
    owners.run_for(second / 2);
    REQUIRE(owners.owner(rack) == "several");
    owners.mode = store_mode::up;
    owners.run_for(4 * second);
    const std::string owner = owners.owner(rack);
    REQUIRE((owner == "h2" || owner == "h3"));
    // The first write of the row is final; the other host does not write again.
    CHECK(owners.owned(owner, rack)->token == fencing_token{2, 0});
    CHECK(owners.has_unique_tokens());
}

// Guards against racks that are lost because the host list cannot be read.
TEST_CASE("an empty host list is ignored", "[ownership]")
{
    simulated_owners owners;
    start(owners);
    owners.listed.clear();
    owners.run_for(120 * second);
    CHECK(owners.count("h1", ownership_change::lost) == 0);
    CHECK(owners.owner("r0") != "none");
}

// Guards against an owner that renews leases after it has confirmed a release,
// and against a release for an outdated epoch.
TEST_CASE("a rack is released only for a higher epoch", "[ownership]")
{
    simulated_owners owners;
    start(owners);
    const std::string rack = any_rack_of(owners, "h1");
    CHECK_FALSE(owners.send_release("h2", "h1", rack, 1).released);
    REQUIRE(owners.owner(rack) == "h1");
    CHECK(owners.send_release("h2", "h1", rack, 2).released);
    CHECK(owners.owner(rack) == "none");
    CHECK(owners.count("h1", ownership_change::lost) == 1);
    owners.run_for(10 * second);
    REQUIRE(owners.owner(rack) == "h1");
    CHECK(owners.owned("h1", rack)->token.epoch > 2);
}

// Guards against an earlier owner that is no longer tracked when its successor
// fails before it has requested the release.
TEST_CASE("an earlier owner is asked until it confirms the release",
          "[ownership]")
{
    simulated_owners owners;
    start(owners);
    const std::string rack = any_rack_of(owners, "h1");
    owners.hosts.at("h1").is_paused = true;
    for (const char* name : {"h2", "h3"})
    {
        owners.hosts.at(name).live = {"h2", "h3"};
    }
    owners.run_for(second);
    const bool acquired_by_h2 = owners.owned("h2", rack) != nullptr;
    const std::string new_owner = acquired_by_h2 ? "h2" : "h3";
    const std::string last = acquired_by_h2 ? "h3" : "h2";
    owners.hosts.at(new_owner).is_running = false;
    owners.hosts.at(last).live = {last};
    owners.run_for(2 * second);
    REQUIRE(owners.owned(last, rack) != nullptr);
    CHECK(owners.owned(last, rack)->unreleased ==
          std::set<std::string>{"h1", new_owner});
    owners.hosts.at("h1").is_paused = false;
    owners.run_for(4 * second);
    CHECK(owners.owned(last, rack)->unreleased ==
          std::set<std::string>{new_owner});
    CHECK_FALSE(owners.owned(last, rack)->previous_released);
}

// Guards against an owner that keeps using a token that a target rejects.
TEST_CASE("an owner gives up a token that a target rejects", "[ownership]")
{
    simulated_owners owners;
    start(owners);
    const std::string rack = any_rack_of(owners, "h1");
    on_stale_epoch_seen(owners.hosts.at("h1").state, {"a", rack}, 7,
                        owners.now);
    CHECK(owners.owner(rack) == "none");
    owners.run_for(2 * second);
    REQUIRE(owners.owner(rack) == "h1");
    CHECK(owners.owned("h1", rack)->token.epoch > 7);
}

// Guards against a shutdown after which racks have no owner until the failure
// of the host is detected.
TEST_CASE("an owner that shuts down hands over its rack at once", "[ownership]")
{
    simulated_owners owners;
    start(owners);
    const std::string rack = any_rack_of(owners, "h1");
    owners.hosts.at("h1").state.is_stopping = true;
    CHECK(owners.send_release("h1", "h2", rack, 1, true).released);
    owners.run_for(second / 2);
    CHECK(owners.owner(rack) == "h2");
    CHECK(owners.owned("h2", rack)->previous_released);
    CHECK(owners.count("h1", ownership_change::lost) == 1);
}

// Guards against a restarted host that waits until its earlier process counts
// as dead, or that reuses the epoch of that process.
TEST_CASE("a restarted owner acquires its racks again at once", "[ownership]")
{
    simulated_owners owners;
    start(owners);
    const std::string rack = any_rack_of(owners, "h1");
    owners.add("h1", 5000);
    owners.run_for(second / 2);
    REQUIRE(owners.owner(rack) == "h1");
    CHECK(owners.owned("h1", rack)->token.epoch == 2);
}
