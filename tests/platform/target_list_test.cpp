#include "target_list.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>

using namespace egretspindle;
using namespace egretspindle::platform;

namespace
{

/// Fields of a row, which also has a counter that changes with its version.
struct row_fields
{
    std::string address = "10.0.0.1:80";
    std::string state = "ready";
    int cpu = 32'000;
    int started_ms = 5;
    int remaining_ms = 0;
};

void write_row(row_map& rows, const std::string& id, const row_fields& fields,
               std::int64_t version)
{
    table_row& row = rows[id];
    row.key = id;
    row.version = version;
    row.value = fmt::format(
        R"({{"service":"svc","address":"{}","zone":"z","state":"{}",)"
        R"("capacity":{{"cpu":{},"memMb":1,"gpu":0}},"labels":["a","r1-3"],)"
        R"("born":{},"remainingMs":{},"beat":{}}})",
        fields.address, fields.state, fields.cpu, fields.started_ms,
        fields.remaining_ms, version);
}

row_map make_rows()
{
    row_map rows;
    for (const char* id : {"i-1", "i-2", "i-3"})
    {
        write_row(rows, id, {}, 1);
    }
    return rows;
}

} // namespace

// Guards against decoding all rows at each read of the list, which with 490
// targets took most of the processor time of a small host.
TEST_CASE("only rows with a new version are decoded", "[platform]")
{
    row_map rows = make_rows();
    target_list list;
    REQUIRE(list.update(rows).decoded_rows == 3);
    REQUIRE(list.update(rows).decoded_rows == 0);
    write_row(rows, "i-2", {}, 2);
    REQUIRE(list.update(rows).decoded_rows == 1);
    REQUIRE(list.entries().size() == 3);
}

// Guards against reporting changes of counters, which made the scheduler copy
// the list and visit all racks.
TEST_CASE("a changed counter is not reported as a change of the list",
          "[platform]")
{
    row_map rows = make_rows();
    target_list list;
    REQUIRE(list.update(rows).entries_changed);
    write_row(rows, "i-1", {}, 2);
    write_row(rows, "i-3", {}, 3);
    const target_changes changes = list.update(rows);
    REQUIRE(changes.decoded_rows == 2);
    REQUIRE_FALSE(changes.entries_changed);
    row_fields draining;
    draining.state = "draining";
    draining.remaining_ms = 900;
    write_row(rows, "i-1", draining, 4);
    REQUIRE(list.update(rows).entries_changed);
    draining.remaining_ms = 800;
    write_row(rows, "i-1", draining, 5);
    REQUIRE_FALSE(list.update(rows).entries_changed);
}

// Guards against changes that are not reported to the scheduler.
TEST_CASE("every other difference is reported as a change of the list",
          "[platform]")
{
    row_map rows = make_rows();
    target_list list;
    REQUIRE(list.update(rows).entries_changed);
    row_fields fields;
    std::int64_t version = 1;
    const auto changes = [&]
    {
        write_row(rows, "i-2", fields, ++version);
        return list.update(rows).entries_changed;
    };
    fields.address = "10.0.0.2:80";
    REQUIRE(changes());
    REQUIRE(list.entries().at("i-2").address == "10.0.0.2:80");
    fields.started_ms = 6;
    REQUIRE(changes());
    fields.cpu = 16'000;
    REQUIRE(changes());
    fields.state = "draining";
    REQUIRE(changes());
    REQUIRE_FALSE(changes());
    rows.erase("i-2");
    REQUIRE(list.update(rows).entries_changed);
    REQUIRE(list.entries().count("i-2") == 0);
    REQUIRE(changes());
    REQUIRE(list.entries().count("i-2") == 1);
}

// An empty list is a valid state; if it were not reported, the host would never
// become ready.
TEST_CASE("the first state of the list is reported as a change", "[platform]")
{
    target_list list;
    REQUIRE(list.update({}).entries_changed);
    REQUIRE_FALSE(list.update({}).entries_changed);
}

// Guards against a target that stays in use after its row became malformed.
TEST_CASE("a malformed row removes its target and is reported once",
          "[platform]")
{
    row_map rows = make_rows();
    target_list list;
    REQUIRE(list.update(rows).malformed.empty());
    rows["i-2"].value = "{";
    rows["i-2"].version = 2;
    target_changes changes = list.update(rows);
    REQUIRE(changes.entries_changed);
    REQUIRE(changes.malformed.size() == 1);
    REQUIRE(changes.malformed[0].id == "i-2");
    REQUIRE(list.entries().size() == 2);
    rows["i-2"].version = 3;
    changes = list.update(rows);
    REQUIRE(changes.malformed.empty());
    REQUIRE_FALSE(changes.entries_changed);
    write_row(rows, "i-2", {}, 4);
    REQUIRE(list.update(rows).entries_changed);
    REQUIRE(list.entries().size() == 3);
}

// Guards against a fixed pause: with 700 ms, the list was read more often than
// a platform with a drain time of 3 s requires.
TEST_CASE("the pause between reads depends on the drain time", "[platform]")
{
    REQUIRE(pause_between_reads(milliseconds(2'000)) == milliseconds(700));
    REQUIRE(pause_between_reads(milliseconds(3'000)) == milliseconds(1'200));
    REQUIRE(pause_between_reads(milliseconds(0)) > milliseconds(0));
}
