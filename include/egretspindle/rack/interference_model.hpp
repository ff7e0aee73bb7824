/// \file
/// How much tasks on idle processors disturb tasks that serve users.
///
/// The measure is the headroom of a serving task: its response-time target
/// divided by its response time, so that 1 means that it is at its target.
/// Response times grow as 1 / (1 - load), so the headroom falls linearly with
/// the load that company adds, and what several tasks take adds up.

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

/// What is known of a pair of images.
struct pair_interference
{
    image_name serving;  ///< image of the task that serves users
    image_name backfill; ///< image of the task on idle processors
    double per_core = 0; ///< headroom that each core takes
    double weight = 0;   ///< observed changes behind it, in square cores
};

/// Serving and filling image.
using image_pair = std::pair<image_name, image_name>;

/// What another host has learned.
struct host_pressures
{
    std::int64_t boot = 0; ///< life of the host
    std::map<image_pair, pair_interference> items;
};

/// Linear model of each pair of images, learned online from what changes when
/// company comes and goes.
struct interference_model
{
    /// Headroom without company that a serving task seldom falls below; it
    /// swings with the load of its users.
    double low_headroom = 1.5;
    std::map<image_pair, pair_interference> own;
    /// Learned by other hosts, by host.
    std::map<std::string, host_pressures> others;
    /// All of it, by weight; made by `merge_interference`.
    std::map<image_pair, pair_interference> merged;
    interference_table table; ///< effects by `merged`
    /// Share of the serving images that an image harms, by filling image.
    std::map<image_name, double> hardness;
    /// Images whose starts wait for idle processors, on any host, with the
    /// share of the targets that suit them to keep; see `reserved_shares`.
    std::map<std::string, double> reserved_shares;
    /// Of `merged`, `table` and `hardness`. No two merges of the process have
    /// the same version, so that it also tells models apart.
    std::uint64_t version = 0;
    bool is_changed = false; ///< since `merged` was made
    time_point merged_at;
};

/// Cores that tasks use, by image, at the speed that they work.
using image_cores = std::map<image_name, double>;

/// Learns from a change of the company of one serving task.
///
/// The load of a task's own users swings by more than most company adds, but
/// slowly. A change within a second tells them apart, an average does not.
///
/// \param change     cores that came (above 0) or went, by image
/// \param headroom_change  of the serving task over the same time
/// \param duration   between the two observations
void observe_change(interference_model& model, const image_name& serving,
                    const image_cores& change, double headroom_change,
                    milliseconds duration);

/// Notes the headroom of a serving task without its company.
void observe_headroom(interference_model& model, double own_headroom);

/// Takes over pairs that another host has learned. Pairs that are not named
/// stay as they are, unless they are of an earlier life of the host.
void update_peer_interference(interference_model& model,
                              const std::string& host, std::int64_t boot,
                              const std::vector<pair_interference>& items);

/// Combines what this host and others have learned.
void merge_interference(interference_model& model);

/// Combines it when something has changed, at most once a second.
///
/// \returns whether `merged` was made anew
bool merge_interference_if_due(interference_model& model, time_point now);

/// Returns what `expected_drop` and `hardness_of` need, without what it was
/// combined from.
[[nodiscard]] interference_model
copy_merged_model(const interference_model& model);

/// Returns the headroom that a core takes by one host's observations of a pair
/// and the assumption that all pairs start from.
[[nodiscard]] double estimate_of(const pair_interference& item);

/// Returns the headroom that `cores` of one image take from a serving image.
///
/// A pair that has hardly been observed counts as moderately harmful.
[[nodiscard]] double expected_drop(const interference_model& model,
                                   const image_name& serving,
                                   const image_name& backfill, double cores);

/// Returns whether an image takes much headroom from a serving image.
[[nodiscard]] bool is_harmful_pair(const interference_model& model,
                                   const image_name& serving,
                                   const image_name& backfill);

/// Returns the share of the serving images that an image harms.
[[nodiscard]] double hardness_of(const interference_model& model,
                                 const image_name& backfill);

} // namespace egretspindle

#endif
