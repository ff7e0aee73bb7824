#include "egretspindle/scheduler/merge_orders.hpp"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace egretspindle;

namespace
{

rack_orders make_orders(const std::string& rack, std::int64_t token,
                        const std::string& step, std::int64_t index)
{
    rack_orders orders;
    orders.rack = rack;
    orders.token = token;
    start_batch batch;
    batch.terms.step = step;
    step_run run;
    run.index = index;
    run.run = 1;
    batch.runs.push_back(run);
    orders.starts.push_back(batch);
    return orders;
}

} // namespace

TEST_CASE("orders for the same rack and token become one message",
          "[scheduler]")
{
    rack_orders stop;
    stop.rack = "r1";
    stop.token = 5;
    stop.stops.push_back({"a.0.0.7", 2});
    const std::vector<rack_orders> merged = merge_orders(
        {make_orders("r1", 5, "a.0.0", 0), make_orders("r2", 6, "a.0.0", 1),
         make_orders("r1", 5, "a.0.0", 2), make_orders("r1", 5, "b.0.0", 0),
         stop});
    REQUIRE(merged.size() == 2);
    REQUIRE(merged[0].rack == "r1");
    REQUIRE(merged[0].starts.size() == 2);
    REQUIRE(merged[0].starts[0].runs.size() == 2);
    REQUIRE(merged[0].starts[0].runs[1].index == 2);
    REQUIRE(merged[0].starts[1].terms.step == "b.0.0");
    REQUIRE(merged[0].stops.size() == 1);
    REQUIRE(merged[1].rack == "r2");
    REQUIRE(merged[1].starts[0].runs[0].index == 1);
}

// A receiver refuses a message with the token of another ownership as a whole.
TEST_CASE("orders with different tokens stay separate", "[scheduler]")
{
    const std::vector<rack_orders> merged = merge_orders(
        {make_orders("r1", 5, "a.0.0", 0), make_orders("r1", 6, "a.0.0", 1)});
    REQUIRE(merged.size() == 2);
    REQUIRE(merged[0].token == 5);
    REQUIRE(merged[1].token == 6);
}

TEST_CASE("a merged message has a limited number of steps", "[scheduler]")
{
    std::vector<rack_orders> orders;
    for (std::size_t n = 0; n < 2 * max_merged_steps + 1; ++n)
    {
        orders.push_back(make_orders("r1", 5, "step" + std::to_string(n), 0));
    }
    const std::vector<rack_orders> merged = merge_orders(std::move(orders));
    REQUIRE(merged.size() == 3);
    std::size_t steps = 0;
    for (const rack_orders& item : merged)
    {
        REQUIRE(item.starts.size() <= max_merged_steps);
        steps += item.starts.size();
    }
    REQUIRE(steps == 2 * max_merged_steps + 1);
}
