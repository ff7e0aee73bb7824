/// \file
/// Learned estimates and interference.

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

/// Tasks per kind on a target at one moment.
struct load_snapshot
{
    time_point taken;
    std::vector<std::pair<std::size_t, double>> counts; ///< by kind index
    double load = 0; ///< share of the capacity in use
};

/// What an owner has learned from measurements of its targets.
///
/// Plain data; `observe.hpp` updates it, `choose_target.hpp` reads it.
struct policy_model
{
    /// Kinds by index; index 0 stands for kinds beyond the limit.
    std::vector<kind_estimate> kinds;
    std::map<std::string, std::size_t, std::less<>> index;
    /// Square matrix, row = slowed kind, column = co-running kind.
    std::vector<interference_cell> cells;
    /// Recent states per target, since measurements lag behind.
    std::map<std::string, std::deque<load_snapshot>> history;
    /// Decayed arrivals per kind index, to weigh harm to urgent kinds.
    std::vector<double> urgent_rate;
    time_point rate_updated;
};

/// Returns the index of a kind, or 0 when it is not known.
[[nodiscard]] std::size_t kind_index(const policy_model& model,
                                     std::string_view kind);

/// Returns the estimate of a kind, or null when none was learned.
[[nodiscard]] const kind_estimate* find_estimate(const policy_model& model,
                                                 std::string_view kind);

/// Returns the predicted relative slowdown per co-running task.
///
/// \param model  learned cells
/// \param kind   index of the slowed kind
/// \param other  index of the co-running kind
/// \param load   load of the target, from 0 to 1
/// \param now    cells without recent samples tend to the prior
[[nodiscard]] double slowdown_by(const policy_model& model, std::size_t kind,
                                 std::size_t other, double load,
                                 time_point now);

/// Returns what peers should learn, within `max_cells` slowdowns.
[[nodiscard]] model_summary to_summary(const policy_model& model,
                                       std::size_t max_cells = 200);

/// Adds what a peer learned, weighed by its sample counts and capped so that
/// own measurements prevail.
void merge_summary(policy_model& model, const model_summary& summary,
                   time_point now);

} // namespace egretspindle

#endif
