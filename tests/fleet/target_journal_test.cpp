#include "egretspindle/fleet/target_journal.hpp"

#include <catch2/catch.hpp>

#include <random>

using namespace egretspindle;

namespace
{

using target_map = std::map<std::string, target_entry>;

target_entry make_entry(const std::string& id, int cpu)
{
    target_entry entry;
    entry.id = id;
    entry.capacity.cpu_milli = cpu;
    return entry;
}

bool are_equal(const target_map& lhs, const target_map& rhs)
{
    return lhs.size() == rhs.size() &&
           std::equal(lhs.begin(), lhs.end(), rhs.begin(),
                      [](const auto& left, const auto& right) {
                          return left.first == right.first &&
                                 !differs(left.second, right.second);
                      });
}

} // namespace

TEST_CASE("only changes of the list make a revision", "[fleet]")
{
    target_journal journal;
    CHECK(update_list(journal, {}));
    CHECK_FALSE(update_list(journal, {}));
    target_map list = {{"a", make_entry("a", 1)}};
    CHECK(update_list(journal, list));
    list["a"].remaining_ms = 5; // decreases while a target drains
    CHECK_FALSE(update_list(journal, list));
    list["a"].is_draining = true;
    CHECK(update_list(journal, list));
    CHECK(changes_since(journal, journal.revision).entries.empty());
}

// Guards against a copy that keeps a removed target or misses a change.
TEST_CASE("a copy that applies the changes equals the list", "[fleet]")
{
    const unsigned seed = GENERATE(1U, 2U, 3U);
    CAPTURE(seed);
    std::minstd_rand random(seed);
    target_journal journal;
    target_map list;
    target_map frequent;
    target_map seldom;
    std::int64_t frequent_revision = 0;
    std::int64_t seldom_revision = 0;
    for (int n = 0; n < 3'000; ++n)
    {
        const std::string id = "i-" + std::to_string(random() % 50);
        if (random() % 3 == 0)
        {
            list.erase(id);
        }
        else
        {
            list[id] = make_entry(id, static_cast<int>(random() % 3));
        }
        update_list(journal, list);
        target_delta delta = changes_since(journal, frequent_revision);
        apply_delta(frequent, delta);
        frequent_revision = delta.revision;
        REQUIRE(are_equal(frequent, list));
        if (n % 100 == 0)
        {
            delta = changes_since(journal, seldom_revision);
            apply_delta(seldom, delta);
            seldom_revision = delta.revision;
            REQUIRE(are_equal(seldom, list));
        }
    }
}

// Guards against memory that grows with each target that ever left.
TEST_CASE("old removals are forgotten, and old copies get the whole list",
          "[fleet]")
{
    target_journal journal;
    update_list(journal, {{"keep", make_entry("keep", 1)}});
    const std::int64_t first = journal.revision;
    for (int n = 0; n < 1'500; ++n)
    {
        const std::string id = "i-" + std::to_string(n);
        update_list(journal,
                    {{"keep", make_entry("keep", 1)}, {id, make_entry(id, 1)}});
    }
    update_list(journal, {{"keep", make_entry("keep", 1)}});
    CHECK(journal.removed_at.size() <= 1'000);
    CHECK(changes_since(journal, first).is_whole);
    CHECK_FALSE(changes_since(journal, journal.revision - 10).is_whole);
    CHECK(changes_since(journal, journal.revision + 1).is_whole);
    CHECK(changes_since(journal, 0).is_whole);
}
