/// \file
/// Comparisons of scenarios and the figures that they have to meet.

#ifndef EGRETSPINDLE_BENCH_POLICY_COMPARISON_HPP
#define EGRETSPINDLE_BENCH_POLICY_COMPARISON_HPP

#include "run_result.hpp"
#include "scenario.hpp"

#include <functional>
#include <string>
#include <vector>

namespace egretspindle::bench
{

/// Scenario of a comparison and its name in the report.
struct variant
{
    std::string name;
    scenario run;
};

/// Figure that is computed for each seed from the results of all variants.
struct figure
{
    std::string name;
    std::function<double(const std::vector<run_result>&)> value;
    bool at_most = false; ///< `bound` is an upper bound
    double bound = 0;
    bool is_required = true; ///< whether `bound` must be met
};

/// Variants that run with the same seeds, and the figures derived from them.
struct comparison
{
    std::string name;
    std::vector<variant> variants;
    std::vector<figure> figures;
};

/// Returns all comparisons. Their bounds are the figures required by the design
/// page.
[[nodiscard]] std::vector<comparison> make_comparisons();

} // namespace egretspindle::bench

#endif
