#include "support/fault_run.hpp"

#include <catch2/catch.hpp>

#include <iostream>

using namespace egretspindle::test;

// Guards against failures under combinations of faults that no other test
// covers: several faults at a time under load of all classes, with
// cancellations. The benchmark `faults` repeats a run by its seed and makes
// longer runs.
TEST_CASE("random faults violate no guarantee", "[random_faults]")
{
    fault_run_options options;
    options.seed = GENERATE(1U, 2U, 3U);
    std::cout << "random_faults seed " << options.seed << std::endl;
    const fault_run_result result = run_faults(options);
    std::string actions;
    for (const std::string& action : result.actions)
    {
        actions += action + "\n";
    }
    INFO("seed " << options.seed << "\n" << actions);
    CHECK_THAT(result.found_violations, Catch::Equals(violations{}));
    CHECK(!result.actions.empty());
    CHECK(!result.replies.empty());
}
