/// \file
/// Cost of single decisions.

#ifndef EGRETSPINDLE_BENCH_POLICY_DECISION_COST_HPP
#define EGRETSPINDLE_BENCH_POLICY_DECISION_COST_HPP

namespace egretspindle::bench
{

/// Prints microseconds per decision for growing sizes.
///
/// \param rounds  repetitions, of which the median is printed
void print_decision_cost(int rounds);

} // namespace egretspindle::bench

#endif
