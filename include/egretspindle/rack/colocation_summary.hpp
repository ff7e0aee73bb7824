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
    std::int64_t backfill_milli = 0; ///< wanted by backfill tasks
    std::int64_t unused_milli = 0;   ///< reserved by other tasks, not used
    /// Headroom that backfill tasks may still take, by serving image.
    image_headroom spare_headroom;
    /// Highest `harmed_share_of` of all backfill images that harm no serving
    /// task of the target: how scarce suitable targets are for such an image.
    double scarcity = 0;
    /// The same for the waiting images that this target is reserved for.
    double reserved = 0;
};

} // namespace egretspindle

#endif
