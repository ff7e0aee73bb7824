#include "egretspindle/codec/json.hpp"
#include "egretspindle/rack/image_name.hpp"
#include "egretspindle/rack/image_name_codec.hpp"
#include "egretspindle/rack/interference_model.hpp"
#include "egretspindle/rack/queued_start.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <thread>

using namespace egretspindle;

// With two different entries for one name, what is learned about an image would
// be split between them.
TEST_CASE("names of images with the same text are equal", "[rack]")
{
    const image_name name("same-text");
    REQUIRE(name == image_name(std::string("same-") + "text"));
    REQUIRE(name != image_name("other-text"));
    REQUIRE(image_name() == image_name(""));
    REQUIRE(image_name().empty());
    REQUIRE(name.str() == "same-text");
}

// Several threads decode messages concurrently.
TEST_CASE("threads get the same entries for names of images", "[rack]")
{
    constexpr std::size_t name_count = 500;
    std::vector<std::vector<image_name>> seen(4);
    std::vector<std::thread> threads;
    threads.reserve(seen.size());
    for (std::vector<image_name>& names : seen)
    {
        threads.emplace_back(
            [&names]
            {
                names.reserve(name_count);
                for (std::size_t n = 0; n < name_count; ++n)
                {
                    names.emplace_back("threads-" + std::to_string(n));
                }
            });
    }
    for (std::thread& item : threads)
    {
        item.join();
    }
    for (const std::vector<image_name>& names : seen)
    {
        REQUIRE(names == seen.front());
    }
    REQUIRE(seen.front().back().str() == "threads-499");
}

// The index of a name differs between hosts, and hosts of older versions send
// strings.
TEST_CASE("the name of an image is sent as text", "[rack]")
{
    step_terms terms;
    terms.image = "rota \"draft\"";
    const std::string text = to_json(terms);
    REQUIRE(text.find(R"("image":"rota \"draft\"")") != std::string::npos);
    const absl::StatusOr<step_terms> seen = from_json<step_terms>(text);
    REQUIRE(seen.ok());
    REQUIRE(seen->image == terms.image);
    REQUIRE_FALSE(from_json<step_terms>(R"({"image":7})").ok());
}

// The table of merged interference has an entry for each pair of known images,
// including pairs that have not been observed.
TEST_CASE("a pair that no host has observed has the effect of the prior",
          "[rack]")
{
    interference_model model;
    const double assumed = expected_headroom_drop(model, "any", "other", 1.0);
    update_peer_interference(
        model, "h2", 1,
        {{"table-a", "table-x", 0.01, 5'000}, {"table-b", "table-y", 0.3, 9}});
    merge_interference(model);
    REQUIRE(expected_headroom_drop(model, "table-a", "table-y", 2.0) ==
            Approx(2.0 * assumed));
    REQUIRE(expected_headroom_drop(model, "table-b", "table-x", 1.0) ==
            Approx(assumed));
    REQUIRE(is_harmful_pair(model, "table-b", "table-x"));
    REQUIRE_FALSE(is_harmful_pair(model, "table-a", "table-x"));
    const pair_interference known{"table-b", "table-y", 0.3, 9};
    REQUIRE(expected_headroom_drop(copy_merged_model(model), "table-b",
                                   "table-y", 1.0) ==
            Approx(estimated_headroom_per_core(known)));
}
