/// \file
/// Part of the policy model that hosts exchange.

#ifndef EGRETSPINDLE_PLACEMENT_MODEL_SUMMARY_HPP
#define EGRETSPINDLE_PLACEMENT_MODEL_SUMMARY_HPP

#include "egretspindle/placement/kind_estimate.hpp"

#include <string>
#include <vector>

namespace egretspindle
{

/// Learned slowdown of `kind` per co-running task of `other`.
struct interference_summary
{
    std::string kind;
    std::string other;
    std::vector<double> slowdown; ///< one per load band
    std::vector<double> weight;   ///< one per load band
};

/// Visits the fields of `interference_summary` for the codec.
template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value,
                  const interference_summary* /*tag*/)
{
    visit("kind", value.kind);
    visit("other", value.other);
    visit("slowdown", value.slowdown);
    visit("weight", value.weight);
}

/// Estimates of one host, and its slowdowns with enough samples.
struct model_summary
{
    std::vector<kind_estimate> estimates;
    std::vector<interference_summary> interference;
};

/// Visits the fields of `model_summary` for the codec.
template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const model_summary* /*tag*/)
{
    visit("estimates", value.estimates);
    visit("interference", value.interference);
}

} // namespace egretspindle

#endif
