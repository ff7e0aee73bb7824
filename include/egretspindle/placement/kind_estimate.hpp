/// \file
/// Estimate of what tasks of one kind need.

#ifndef EGRETSPINDLE_PLACEMENT_KIND_ESTIMATE_HPP
#define EGRETSPINDLE_PLACEMENT_KIND_ESTIMATE_HPP

#include "egretspindle/core/clock.hpp"
#include "egretspindle/core/resources.hpp"

#include <cstdint>
#include <string>

namespace egretspindle
{

/// Observed peaks and run times of one kind.
struct kind_estimate
{
    std::string kind;
    resources peak;           ///< raised at once, lowered slowly
    double run_ms = 0;        ///< mean run time
    double base_ms = 0;       ///< run time without interference (low quantile)
    double tail_ms = 0;       ///< 95th percentile of the run time
    std::int64_t ends = 0;    ///< finished tasks seen
    std::int64_t reports = 0; ///< usage measurements seen
    bool urgent = false;
    time_point updated;
};

/// Visits the fields of `kind_estimate` that peers share.
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
