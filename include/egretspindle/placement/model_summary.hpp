/// \file
/// Learned estimates of task kinds and interference that hosts send to each
/// other.

#ifndef EGRETSPINDLE_PLACEMENT_MODEL_SUMMARY_HPP
#define EGRETSPINDLE_PLACEMENT_MODEL_SUMMARY_HPP

#include "egretspindle/placement/kind_estimate.hpp"

#include <string>
#include <vector>

namespace egretspindle
{

/// Learned slowdown of tasks of `kind` for each task of `other_kind` on the
/// same target, as a fraction of the run time without interference. The vectors
/// have `load_band_count` entries, by band of the target load.
struct interference_summary
{
    std::string kind;
    std::string other_kind;
    std::vector<double> slowdowns;
    std::vector<double> weights; ///< effective number of samples behind each
};

/// Visits the fields of `interference_summary` for the codec.
template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value,
                  const interference_summary* /*tag*/)
{
    visit("kind", value.kind);
    visit("other", value.other_kind);
    visit("slowdown", value.slowdowns);
    visit("weight", value.weights);
}

/// Estimates that one host has learned or merged, and those of its slowdowns
/// that are based on enough samples; see `to_summary`.
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
