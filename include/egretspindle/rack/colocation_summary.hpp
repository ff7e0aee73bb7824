/// \file
/// Co-location summary of a target.

#ifndef EGRETSPINDLE_RACK_COLOCATION_SUMMARY_HPP
#define EGRETSPINDLE_RACK_COLOCATION_SUMMARY_HPP

#include "egretspindle/rack/image_name.hpp"

#include <boost/container/flat_map.hpp>

#include <cstdint>

namespace egretspindle
{

/// Headroom by image.
using image_headroom = boost::container::flat_map<image_name, double>;

/// Properties of a target that decide whether backfill tasks can run on it.
struct colocation_summary
{
    /// Processors that the placed backfill tasks use at full speed, in
    /// thousandths of a core.
    std::int64_t backfill_milli = 0;
    /// Processors that other tasks reserve but do not use, in thousandths of a
    /// core. For serving tasks this is a fixed share of the reservation.
    std::int64_t unused_milli = 0;
    /// Headroom that further backfill tasks may take, by serving image: the
    /// predicted headroom less `min_serving_headroom` and the expected effect
    /// of the placed backfill tasks. Of several tasks of an image the lowest.
    image_headroom spare_headroom;
    /// Highest `harmed_share_of` of all backfill images that harm no serving
    /// task of the target: how scarce suitable targets are for such an image.
    double scarcity = 0;
    /// The same for those of the images that this target is reserved for, since
    /// their starts wait (`interference_model::reserved_shares`).
    double reserved = 0;
};

} // namespace egretspindle

#endif
