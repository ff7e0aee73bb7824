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
    double per_core = 0; ///< headroom that each core takes
    double weight = 0;   ///< of the observed changes, in square cores
};

/// Serving image and backfill image.
using image_pair = std::pair<image_name, image_name>;

/// Pairs that another host has learned.
struct host_interference
{
    std::int64_t boot = 0; ///< boot id of the host
    std::map<image_pair, pair_interference> items;
};

/// Linear model of each pair of images, learned online from the changes of
/// headroom when backfill tasks start and stop.
struct interference_model
{
    /// 5% quantile of the headroom of serving tasks without backfill tasks.
    /// It varies with the load of the users.
    double low_headroom = 1.5;
    std::map<image_pair, pair_interference> own; ///< learned by this host
    /// Learned by other hosts, by host.
    std::map<std::string, host_interference> others;
    /// Weighted mean of `own` and `others`; see `merge_interference`.
    std::map<image_pair, pair_interference> merged;
    interference_table table; ///< effects of the pairs in `merged`
    /// Share of the serving images that an image harms, by backfill image.
    std::map<image_name, double> harmed_share;
    /// Share of the suitable targets to reserve for each image whose starts
    /// wait for idle processors on any host; see `reserved_shares`.
    std::map<std::string, double> reserved_shares;
    /// Version of `merged`, `table` and `harmed_share`. Unique for each merge
    /// in the process, so that it also distinguishes models.
    std::uint64_t version = 0;
    bool is_changed = false; ///< since the last merge
    time_point merged_at;
};

/// Cores that backfill tasks use at their ordered speed, by image.
using image_cores = std::map<image_name, double>;

/// Updates the model from a change of the backfill tasks beside one serving
/// task.
///
/// The load from the users of a serving task varies by more than most
/// backfill tasks add, but slowly. Changes within a second separate the two
/// effects; averages do not.
///
/// \param change     cores that started (above 0) or stopped, by image
/// \param headroom_change  of the serving task over the same time
/// \param duration   between the two observations
void observe_change(interference_model& model, const image_name& serving,
                    const image_cores& change, double headroom_change,
                    milliseconds duration);

/// Updates `low_headroom` with the headroom that a serving task would have
/// without backfill tasks.
void observe_headroom(interference_model& model, double own_headroom);

/// Stores pairs that another host has learned. Pairs of the host that are not
/// in `items` stay as they are, unless they come from an earlier boot of it.
void update_peer_interference(interference_model& model,
                              const std::string& host, std::int64_t boot,
                              const std::vector<pair_interference>& items);

/// Merges the pairs that this host and other hosts have learned.
void merge_interference(interference_model& model);

/// Merges the pairs if any has changed, at most once a second.
///
/// \returns whether it merged
bool merge_interference_if_due(interference_model& model, time_point now);

/// Returns a copy of the model that suffices for `expected_headroom_drop` and
/// `harmed_share_of`, without the pairs of each host.
[[nodiscard]] interference_model
copy_merged_model(const interference_model& model);

/// Estimates the headroom that a core takes, from the observations of a pair
/// and the prior that all pairs start from.
[[nodiscard]] double estimate_of(const pair_interference& item);

/// Returns the headroom that `cores` of a backfill image are expected to
/// take from a serving image.
///
/// A pair with few observations counts as moderately harmful.
[[nodiscard]] double expected_headroom_drop(const interference_model& model,
                                            const image_name& serving,
                                            const image_name& backfill,
                                            double cores);

/// Returns whether a backfill image takes much headroom from a serving
/// image.
[[nodiscard]] bool is_harmful_pair(const interference_model& model,
                                   const image_name& serving,
                                   const image_name& backfill);

/// Returns the share of the known serving images that a backfill image
/// harms; 1 for an unknown image.
[[nodiscard]] double harmed_share_of(const interference_model& model,
                                     const image_name& backfill);

} // namespace egretspindle

#endif
