#include "target_list.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <string>
#include <vector>

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

// Another program may write entries to the list. Guards against hosts that end
// or stop following the list because of one odd entry, and against odd values
// that reach the scheduler: negative capacity ended in an endless draw, and a
// rack name that is too long for a row key blocked the claims of all racks.
TEST_CASE("an odd entry is left out, and the other entries are followed",
          "[platform]")
{
    const std::string valid =
        R"({"service":"svc","address":"10.0.0.9:80","zone":"z",)"
        R"("state":"ready","capacity":{"cpu":1,"memMb":1,"gpu":0},)"
        R"("labels":["a","r1-3"],"born":5})";
    const auto nested = [](std::size_t depth)
    {
        return std::string(depth, '[') + std::string(depth, ']');
    };
    const auto with = [&valid](const std::string& old, const std::string& text)
    {
        std::string value = valid;
        return value.replace(value.find(old), old.size(), text);
    };
    std::vector<std::string> odd_values = {
        "",
        "{",
        "null",
        "5",
        "[]",
        "{}",
        "\xff\xfe",
        std::string(100, '\0'),
        nested(100'000),
        "{\"state\":" + nested(100'000) + "}",
        with("\"ready\"", "\"odd\""),
        with("\"svc\"", "\"\""),
        with("\"svc\"", "null"),
        with("\"z\"", "\"\""),
        with("\"z\"", "\"" + std::string(200, 'z') + "\""),
        with("\"r1-3\"", "\"\""),
        with("\"r1-3\"", "7"),
        with("\"r1-3\"", "\"" + std::string(256 * 1024, 'r') + "\""),
        with("[\"a\",\"r1-3\"]", "[]"),
        with("[\"a\",\"r1-3\"]", "{}"),
        with("\"svc\"", "\"\\ud800\""),
        with("5", "1e400"),
        with("5", "9223372036854775808"),
        with("5", "5.5")};
    for (const char* port : {"0", "-1", "65536", "99999999999", "", "x"})
    {
        odd_values.push_back(with(":80", std::string(":") + port));
    }
    odd_values.push_back(with("10.0.0.9", "nohost"));
    for (const char* number :
         {"-1", "9223372036854775807", "9223372036854775808", "1e400", "1e300",
          "1e-400", "0.5", "true", "\"1\""})
    {
        odd_values.push_back(
            with("\"cpu\":1", std::string("\"cpu\":") + number));
        odd_values.push_back(
            with("\"memMb\":1", std::string("\"memMb\":") + number));
    }
    for (const std::size_t depth : {64, 65})
    {
        odd_values.push_back(with("\"z\"", "\"z\",\"more\":" + nested(depth)));
    }
    for (const std::string& value : odd_values)
    {
        CAPTURE(value.substr(0, 300));
        row_map rows = make_rows();
        target_list list;
        list.update(rows);
        rows["i-0"].key = "i-0";
        rows["i-0"].value = value;
        rows["i-0"].version = 2;
        target_changes changes = list.update(rows);
        CHECK_FALSE(changes.entries_changed);
        REQUIRE(changes.malformed.size() == 1);
        CHECK(changes.malformed[0].error.size() < 500);
        write_row(rows, "i-4", {}, 3);
        rows["i-0"].version = 3;
        changes = list.update(rows);
        CHECK(changes.entries_changed);
        CHECK(changes.malformed.empty());
        CHECK(list.entries().size() == 4);
    }
    row_map rows;
    rows["i-0"].value = valid;
    target_list list;
    list.update(rows);
    CHECK(list.entries().size() == 1);
}

// Guards against a fixed pause: with 700 ms, the list was read more often than
// a platform with a drain time of 3 s requires.
TEST_CASE("the pause between reads depends on the drain time", "[platform]")
{
    REQUIRE(pause_between_reads(milliseconds(2'000)) == milliseconds(700));
    REQUIRE(pause_between_reads(milliseconds(3'000)) == milliseconds(1'200));
    REQUIRE(pause_between_reads(milliseconds(0)) > milliseconds(0));
}
