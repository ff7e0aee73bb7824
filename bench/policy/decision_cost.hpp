/// \file
/// Cost of individual decisions.

#ifndef EGRETSPINDLE_BENCH_POLICY_DECISION_COST_HPP
#define EGRETSPINDLE_BENCH_POLICY_DECISION_COST_HPP

namespace egretspindle::bench
{

/// Prints the time per decision in microseconds for several sizes.
///
/// \param rounds  number of measurements, of which the median is printed
void print_decision_cost(int rounds);

} // namespace egretspindle::bench

#endif
