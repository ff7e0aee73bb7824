/// \file
/// Estimated resource use and run time of one kind of task.

#ifndef EGRETSPINDLE_PLACEMENT_KIND_ESTIMATE_HPP
#define EGRETSPINDLE_PLACEMENT_KIND_ESTIMATE_HPP

#include "egretspindle/core/clock.hpp"
#include "egretspindle/core/resources.hpp"

#include <cstdint>
#include <string>

namespace egretspindle
{

/// Observed peak use and run times of the tasks of one kind.
struct kind_estimate
{
    std::string kind;
    resources peak;        ///< rises at once, decays with a half-life of 10 min
    double run_ms = 0;     ///< mean run time
    double base_ms = 0;    ///< 25th percentile; stands for no interference
    double tail_ms = 0;    ///< 95th percentile of the run time
    std::int64_t ends = 0; ///< number of finished tasks observed
    std::int64_t reports = 0; ///< number of usage measurements observed
    bool urgent = false;
    time_point updated;
};

/// Visits the fields of `kind_estimate` that hosts exchange.
template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const kind_estimate* /*tag*/)
{
    visit("kind", value.kind);
    visit("peak", value.peak);
    visit("run_ms", value.run_ms);
    visit("base_ms", value.base_ms);
    visit("tail_ms", value.tail_ms);
    visit("ends", value.ends);
    visit("reports", value.reports);
    visit("urgent", value.urgent);
}

} // namespace egretspindle

#endif
