#include "egretspindle/core/error.hpp"
#include "egretspindle/ownership/ownership_service.hpp"

#include "../membership/loopback_member.hpp"
#include "../membership/memory_store.hpp"

#include <catch2/catch.hpp>

#include <memory>
#include <mutex>
#include <set>

using namespace egretspindle;
using test::eventually;
using test::loopback_member;
using test::memory_store;

namespace
{

constexpr int rack_count = 6;

std::vector<host_entry> make_list()
{
    std::vector<host_entry> hosts;
    for (int n = 0; n < rack_count; ++n)
    {
        host_entry entry;
        entry.name = "t" + std::to_string(n);
        entry.role = "target";
        entry.data_center = "a";
        entry.rack = "r" + std::to_string(n);
        hosts.push_back(entry);
    }
    return hosts;
}

/// Host with membership and ownership services; records the callbacks.
class owner_host
{
public:
    owner_host(const std::string& name, const std::vector<std::string>& seeds,
               memory_store& store)
        : member(name, seeds, nullptr, [this] { return describe(); }),
          ownership(make_options(name), member.service, store, make_list,
                    member.client, make_callbacks())
    {
        member.router.on<rack_release, rack_release>(
            message_type::release_rack,
            [this](const std::string& sender, const rack_release& message)
            { return ownership.handle_release(sender, message); });
    }

    ~owner_host()
    {
        stop();
    }

    owner_host(const owner_host&) = delete;
    owner_host& operator=(const owner_host&) = delete;

    void start()
    {
        member.start();
        ownership.start();
    }

    void stop()
    {
        ownership.stop();
        member.stop();
    }

    std::size_t owned() const
    {
        return ownership.owned().size();
    }

    /// Racks that the callbacks reported as acquired and not as lost.
    std::size_t acquired_count() const
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        return acquired_racks_.size();
    }

private:
    static ownership_options make_options(const std::string& name)
    {
        ownership_options options;
        options.name = name;
        options.data_center = "a";
        return options;
    }

    member_digest describe() const
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        member_digest digest;
        for (const auto& [rack, epoch] : acquired_racks_)
        {
            rack_summary summary;
            summary.rack = rack;
            summary.epoch = epoch;
            digest.racks.push_back(summary);
        }
        return digest;
    }

    ownership_callbacks make_callbacks()
    {
        ownership_callbacks callbacks;
        callbacks.acquired = [this](const owned_rack& rack)
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            acquired_racks_[rack.rack] = rack.token.epoch;
        };
        callbacks.updated = [](const owned_rack& /*rack*/) {
        };
        callbacks.lost = [this](const rack_id& rack)
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            acquired_racks_.erase(rack.rack);
        };
        callbacks.last_renewals = [](const rack_id& rack)
        {
            return std::vector<target_renewal>{{"t" + rack.rack, 123}};
        };
        callbacks.claim_target =
            [](const host_entry& /*target*/,
               std::int64_t /*epoch*/) -> absl::StatusOr<fencing_token>
        {
            return make_error(error_kind::conflict, "the lease is valid");
        };
        return callbacks;
    }

    mutable std::mutex mutex_;
    std::map<std::string, std::int64_t> acquired_racks_;

public:
    loopback_member member;
    ownership_service ownership;
};

} // namespace

// Guards against racks left without an owner when a host fails, or when it is
// shut down and has to hand over every rack.
TEST_CASE("racks move to other hosts on a failure and on a shutdown",
          "[ownership]")
{
    memory_store store;
    owner_host first("h1", {}, store);
    owner_host second("h2", {first.member.address()}, store);
    owner_host third("h3", {first.member.address()}, store);
    for (owner_host* host : {&first, &second, &third})
    {
        host->start();
    }
    REQUIRE(eventually(
        [&]
        {
            return first.acquired_count() + second.acquired_count() +
                           third.acquired_count() ==
                       rack_count &&
                   first.owned() + second.owned() + third.owned() == rack_count;
        }));
    third.stop();
    REQUIRE(eventually(
        [&] {
            return first.acquired_count() + second.acquired_count() ==
                   rack_count;
        }));
    const std::size_t left = second.owned();
    CHECK(second.ownership.release_all(milliseconds(10'000)) == left);
    CHECK(second.acquired_count() == 0);
    CHECK(eventually([&] { return first.acquired_count() == rack_count; }));
    for (const owned_rack& rack : first.ownership.owned())
    {
        if (rack.previous_owner == "h2")
        {
            CHECK(eventually(
                [&]
                {
                    for (const owned_rack& now : first.ownership.owned())
                    {
                        if (now.rack == rack.rack)
                        {
                            return now.unreleased.count("h2") == 0 &&
                                   !now.previous_renewals.empty();
                        }
                    }
                    return false;
                }));
        }
        CHECK(eventually(
            [&]
            {
                const std::optional<rack_owner> known =
                    second.ownership.owner_of({"a", rack.rack});
                return known && known->host == "h1";
            }));
    }
}
