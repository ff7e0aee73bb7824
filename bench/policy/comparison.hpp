/// \file
/// Scenarios with their targets.

#ifndef EGRETSPINDLE_BENCH_POLICY_COMPARISON_HPP
#define EGRETSPINDLE_BENCH_POLICY_COMPARISON_HPP

#include "run_result.hpp"
#include "scenario.hpp"

#include <functional>
#include <string>
#include <vector>

namespace egretspindle::bench
{

/// Run of one comparison, named for the report.
struct variant
{
    std::string name;
    scenario run;
};

/// Figure of one seed, computed from the results of all variants in order.
struct figure
{
    std::string name;
    std::function<double(const std::vector<run_result>&)> value;
    bool at_most = false; ///< the target is an upper bound
    double bound = 0;
    bool has_target = true; ///< otherwise only shown
};

/// Variants that run with the same seeds, and what is expected of them.
struct comparison
{
    std::string name;
    std::vector<variant> variants;
    std::vector<figure> figures;
};

/// Returns all comparisons; the targets are those of the design page.
[[nodiscard]] std::vector<comparison> make_comparisons();

} // namespace egretspindle::bench

#endif
