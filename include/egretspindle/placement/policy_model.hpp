/// \file
/// Learned resource estimates and interference between kinds of tasks.

#ifndef EGRETSPINDLE_PLACEMENT_POLICY_MODEL_HPP
#define EGRETSPINDLE_PLACEMENT_POLICY_MODEL_HPP

#include "egretspindle/core/clock.hpp"
#include "egretspindle/placement/interference_cell.hpp"
#include "egretspindle/placement/kind_estimate.hpp"
#include "egretspindle/placement/model_summary.hpp"

#include <cstddef>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace egretspindle
{

/// Number of tasks per kind on a target at one point in time.
struct load_snapshot
{
    time_point taken;
    std::vector<std::pair<std::size_t, double>> counts; ///< by kind index
    double load = 0; ///< fraction of the capacity in use
};

/// Estimates that a rack owner learned from measurements of its targets.
///
/// Plain data; `observe.hpp` updates it, `choose_target.hpp` reads it.
struct policy_model
{
    /// Estimates by kind index. Index 0 stands for all kinds beyond the limit.
    std::vector<kind_estimate> kinds;
    std::map<std::string, std::size_t, std::less<>> index;
    /// Square matrix; the row is the slowed kind, the column the co-running
    /// one.
    std::vector<interference_cell> cells;
    /// Recent snapshots per target, since usage reports are delayed.
    std::map<std::string, std::deque<load_snapshot>> history;
    /// Urgent arrivals per kind index, decaying with a half-life of 60 s;
    /// weights of the slowdowns of urgent kinds.
    std::vector<double> urgent_rate;
    time_point rate_updated;
};

/// Returns the index of a kind, or 0 if it is not known.
[[nodiscard]] std::size_t kind_index(const policy_model& model,
                                     std::string_view kind);

/// Returns the estimate of a kind, or null if it is not known.
[[nodiscard]] const kind_estimate* find_estimate(const policy_model& model,
                                                 std::string_view kind);

/// Returns the predicted slowdown of a task per co-running task, as a fraction
/// of the run time without interference.
///
/// \param model  learned estimates
/// \param kind   index of the slowed kind
/// \param other  index of the co-running kind
/// \param load   load of the target, from 0 to 1
/// \param now    current time; cells decay to the prior with a half-life of
///               one hour after their last sample
[[nodiscard]] double slowdown_by(const policy_model& model, std::size_t kind,
                                 std::size_t other, double load,
                                 time_point now);

/// Returns the estimates to send to other hosts, with at most `max_cells`
/// slowdowns: those with the most samples, and at least 5 each.
[[nodiscard]] model_summary to_summary(const policy_model& model,
                                       std::size_t max_cells = 200);

/// Merges the estimates of another host: higher peaks, run times that are based
/// on more ends, and slowdowns with more samples than the own ones, where those
/// of the other host count as at most 20 samples (`max_peer_weight`).
void merge_summary(policy_model& model, const model_summary& summary,
                   time_point now);

} // namespace egretspindle

#endif
