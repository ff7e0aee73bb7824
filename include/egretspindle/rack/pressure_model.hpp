/// \file
/// How much tasks on idle processors lengthen the response times of others.

#ifndef EGRETSPINDLE_RACK_PRESSURE_MODEL_HPP
#define EGRETSPINDLE_RACK_PRESSURE_MODEL_HPP

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace egretspindle
{

/// What is known of a pair of images.
struct pair_pressure
{
    std::string serving; ///< image of the task that serves users
    std::string filling; ///< image of the task on idle processors
    double per_core = 0; ///< rise of response time / target, for each core
    double weight = 0;   ///< observations behind it
};

/// Visits the fields of `pair_pressure` for the codec.
template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const pair_pressure* /*tag*/)
{
    visit("s", value.serving);
    visit("f", value.filling);
    visit("p", value.per_core);
    visit("w", value.weight);
}

/// Serving and filling image.
using image_pair = std::pair<std::string, std::string>;

/// Linear model of each pair of images, learned online from what runs
/// together.
struct pressure_model
{
    double base = 0.45; ///< response time / target without company
    std::map<image_pair, pair_pressure> own;
    /// Learned by other hosts, by host.
    std::map<std::string, std::vector<pair_pressure>> others;
    /// All of it, by weight; made by `merge_pressures`.
    std::map<image_pair, pair_pressure> merged;
};

/// Cores that tasks use, by image, at the speed that they work.
using image_cores = std::map<std::string, double>;

/// Learns from one serving task.
///
/// \param company  tasks on idle processors of the same target
/// \param ratio    response time / target of the serving task
void observe_pressure(pressure_model& model, const std::string& serving,
                      const image_cores& company, double ratio);

/// Combines what this host and others have learned.
void merge_pressures(pressure_model& model);

/// Returns the rise of the ratio that `cores` of an image cause, at most, for
/// serving tasks of some images.
///
/// A pair that has not been observed enough counts as moderately harmful.
[[nodiscard]] double expected_pressure(const pressure_model& model,
                                       const std::set<std::string>& serving,
                                       const std::string& filling,
                                       double cores);

/// Returns whether all pairs of images have been observed enough.
[[nodiscard]] bool are_known_pairs(const pressure_model& model,
                                   const std::set<std::string>& serving,
                                   const std::string& filling);

/// Returns what this host has learned, for other hosts.
[[nodiscard]] std::vector<pair_pressure>
learned_pressures(const pressure_model& model);

} // namespace egretspindle

#endif
