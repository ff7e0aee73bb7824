/// \file
/// Model of how much backfill tasks slow down serving tasks.
///
/// The measure is the headroom of a serving task: its response-time target
/// divided by its response time, so 1 means that it is exactly at its target.
/// Response times grow as 1 / (1 - load), so the headroom falls linearly with
/// the load that co-located tasks add, and the effects of several tasks add up.

#ifndef EGRETSPINDLE_RACK_INTERFERENCE_MODEL_HPP
#define EGRETSPINDLE_RACK_INTERFERENCE_MODEL_HPP

#include "egretspindle/core/clock.hpp"
#include "egretspindle/rack/image_name.hpp"
#include "egretspindle/rack/interference_table.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace egretspindle
{

/// Learned interference of a backfill image with a serving image.
struct pair_interference
{
    image_name serving;  ///< image of the serving task
    image_name backfill; ///< image of the backfill task
    /// Headroom that the serving task loses per core of the backfill task.
    double per_core = 0;
    /// Weight of the estimate in a merge, in cores^2: the sum of the
    /// observed changes of the cores, squared and reduced the longer they took.
    /// Limited by `max_weight`.
    double weight = 0;
};

/// Key of a pair: first the serving image, then the backfill image.
using image_pair = std::pair<image_name, image_name>;

/// Pairs that another host has learned.
struct host_interference
{
    std::int64_t boot = 0; ///< boot id of the host
    std::map<image_pair, pair_interference> pairs;
};

/// Linear model of each pair of images, learned online from the changes of
/// headroom when backfill tasks start and stop.
struct interference_model
{
    /// Running estimate of the 5th percentile of the headroom that serving
    /// tasks have without backfill tasks. It varies with the user load.
    /// Assumed for serving tasks without a report.
    double baseline_headroom_p5 = 1.5;
    std::map<image_pair, pair_interference> own; ///< learned by this host
    /// Learned by other hosts, by host.
    std::map<std::string, host_interference> others;
    /// Weighted mean of `own` and `others`; see `merge_interference`.
    std::map<image_pair, pair_interference> merged;
    interference_table table; ///< effects of the pairs in `merged`
    /// Fraction of the serving images in `merged` paired with a backfill image
    /// for which `is_harmful_pair` holds, by backfill image.
    std::map<image_name, double> harmed_share;
    /// Share of the suitable targets to reserve for each image whose starts
    /// wait for idle processors on any host; see `reserved_shares`.
    std::map<std::string, double> reserved_shares;
    /// Version of `merged`, `table` and `harmed_share`. Unique for each merge
    /// in the process, so that it also distinguishes models.
    std::uint64_t version = 0;
    bool is_changed = false; ///< `own` or `others` changed since the last merge
    time_point merged_at;    ///< last merge by `merge_interference_if_due`
};

/// Declared cores of backfill tasks times their current speed limit, by image.
/// Also used for averages and differences of these.
using image_cores = std::map<image_name, double>;

/// Updates the model after backfill tasks on the target of a serving task have
/// started, stopped or changed their speed.
///
/// User load varies by more than most backfill tasks add, but slowly.
/// Differences over about half a second isolate the effect of backfill tasks;
/// averages would not.
///
/// \param change  change of the cores of backfill tasks, by image: positive for
///                starts, negative for stops
/// \param headroom_change  change of the headroom of the serving task over the
///                         same time
/// \param duration  time between the two observations; a longer one gives the
///                  change less weight
void observe_change(interference_model& model, const image_name& serving,
                    const image_cores& change, double headroom_change,
                    milliseconds duration);

/// Updates `baseline_headroom_p5` with the headroom that a serving task would
/// have without backfill tasks.
void observe_headroom(interference_model& model,
                      double headroom_without_backfill);

/// Stores pairs that another host has learned. Pairs of the host that are not
/// in `pairs` stay as they are, unless they come from an earlier boot of it.
void update_peer_interference(interference_model& model,
                              const std::string& host, std::int64_t boot,
                              const std::vector<pair_interference>& pairs);

/// Merges the pairs that this host and other hosts have learned.
void merge_interference(interference_model& model);

/// Merges the pairs if any has changed, at most once a second.
///
/// \returns whether it merged
bool merge_interference_if_due(interference_model& model, time_point now);

/// Returns a copy of the model without `own`, `others` and `reserved_shares`.
/// It suffices for `expected_headroom_drop`, `is_harmful_pair` and
/// `harmed_share_of`.
[[nodiscard]] interference_model
copy_merged_model(const interference_model& model);

/// Returns the weighted mean of the observations of a pair and of the prior
/// common to all pairs (a headroom of 0.1 per core), at least 0. Without
/// observations this is the prior.
[[nodiscard]] double estimated_headroom_per_core(const pair_interference& item);

/// Returns the headroom that a serving image is expected to lose to `cores` of
/// a backfill image.
///
/// A pair without observations counts as harmful: it has the effect of the
/// prior, see `estimated_headroom_per_core`.
[[nodiscard]] double expected_headroom_drop(const interference_model& model,
                                            const image_name& serving,
                                            const image_name& backfill,
                                            double cores);

/// Returns whether the headroom that a serving image is expected to lose per
/// core of a backfill image exceeds the threshold of harmful pairs
/// (`harmful_per_core`, 0.035).
[[nodiscard]] bool is_harmful_pair(const interference_model& model,
                                   const image_name& serving,
                                   const image_name& backfill);

/// Returns `interference_model::harmed_share` of a backfill image; 1 for an
/// image without observations.
[[nodiscard]] double harmed_share_of(const interference_model& model,
                                     const image_name& backfill);

} // namespace egretspindle

#endif
