#include "egretspindle/scheduler/intent_rows.hpp"
#include "egretspindle/scheduler/shard.hpp"

#include "fake_store.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>

using namespace egretspindle;

namespace
{

// Writes the owner row of rack `r1` and returns the token.
std::int64_t claim_rack(fake_store& store)
{
    row_transaction transaction;
    table_row row;
    row.table = std::string(cluster_table);
    row.key = std::string(rack_prefix) + "r1";
    transaction.writes.push_back(row);
    return store.commit(transaction, {})->version;
}

} // namespace

TEST_CASE("recorded intents are read by the next owner", "[scheduler]")
{
    fake_store store;
    const std::int64_t token = claim_rack(store);
    REQUIRE(read_intents(store, "r1", {})->intents.empty());
    intent_record record;
    record.intents = {{{"job.0.0.1", 2}, {"t1", true}},
                      {{"job.0.0.2", 1}, {"t2", false}}};
    const absl::StatusOr<intent_write> written =
        write_intents(store, "r1", token, record, {});
    REQUIRE(written.ok());
    REQUIRE(written->is_committed);
    const absl::StatusOr<intent_record> read = read_intents(store, "r1", {});
    REQUIRE(read.ok());
    REQUIRE(read->intents.size() == 2);
    for (const auto& [id, intent] : record.intents)
    {
        CHECK(read->intents.at(id).target == intent.target);
        CHECK(read->intents.at(id).is_confirmed == intent.is_confirmed);
    }
    CHECK(read->version == written->version);
    CHECK_FALSE(read->is_incomplete);
    CHECK(read_intents(store, "r0", {})->version == 0);
}

// A later owner reads the record once. Guards against a former owner that
// records an intent, and sends its start, after that.
TEST_CASE("a replaced owner cannot record intents", "[scheduler]")
{
    fake_store store;
    const std::int64_t token = claim_rack(store);
    claim_rack(store);
    const absl::StatusOr<intent_write> written =
        write_intents(store, "r1", token, {}, {});
    REQUIRE(written.ok());
    CHECK_FALSE(written->is_committed);
    CHECK(written->is_replaced);
}

// Guards against a former owner that records an intent, and sends its start,
// after a takeover that only the fence row of the rack shows.
TEST_CASE("a replaced owner cannot record intents beside the fence row",
          "[scheduler]")
{
    fake_store store;
    const auto claim = [&store]
    {
        row_transaction transaction;
        table_row row;
        row.table = std::string(rack_fences_table);
        row.part = "r1";
        row.key = std::string(rack_fence_key);
        transaction.writes.push_back(row);
        return store.commit(transaction, {})->version;
    };
    const std::int64_t token = claim();
    intent_record record;
    record.intents = {{{"job.0.0.1", 2}, {"t1", true}}};
    const absl::StatusOr<intent_write> first =
        write_intents(store, "r1", token, record, {}, true);
    REQUIRE(first.ok());
    REQUIRE(first->is_committed);
    const absl::StatusOr<intent_record> read =
        read_intents(store, "r1", {}, true);
    REQUIRE(read.ok());
    CHECK(read->intents.size() == 1);
    CHECK(read->version == first->version);
    claim();
    record.version = first->version;
    const absl::StatusOr<intent_write> second =
        write_intents(store, "r1", token, record, {}, true);
    REQUIRE(second.ok());
    CHECK_FALSE(second->is_committed);
    CHECK(second->is_replaced);
}

// Guards against an owner that can never record again after an answer of the
// store was lost.
TEST_CASE("a failed write tells the version of the record", "[scheduler]")
{
    fake_store store;
    const std::int64_t token = claim_rack(store);
    intent_record record;
    const std::int64_t version =
        write_intents(store, "r1", token, record, {})->version;
    const absl::StatusOr<intent_write> written =
        write_intents(store, "r1", token, record, {});
    REQUIRE(written.ok());
    CHECK_FALSE(written->is_committed);
    CHECK_FALSE(written->is_replaced);
    CHECK(written->version == version);
    record.version = version;
    CHECK(write_intents(store, "r1", token, record, {})->is_committed);
}

// Guards against a row that the platform refuses, and against a malformed one
// that is taken for an empty record.
TEST_CASE("a record that cannot be used is incomplete", "[scheduler]")
{
    fake_store store;
    const std::int64_t token = claim_rack(store);
    intent_record record;
    for (int n = 0; n < 5'000; ++n)
    {
        record.intents[{fmt::format("0123456789abcdef.0.0.{}", n), 1}] = {"t1"};
    }
    REQUIRE(write_intents(store, "r1", token, record, {})->is_committed);
    CHECK(read_intents(store, "r1", {})->is_incomplete);
    row_transaction transaction;
    table_row row;
    row.table = std::string(intents_table);
    row.key = "r1";
    row.value = "{";
    transaction.writes.push_back(row);
    REQUIRE(store.commit(transaction, {}).ok());
    CHECK(read_intents(store, "r1", {})->is_incomplete);
}
