/// \file
/// What tasks that use idle processors need to know of a target.

#ifndef EGRETSPINDLE_RACK_TARGET_MIX_HPP
#define EGRETSPINDLE_RACK_TARGET_MIX_HPP

#include "egretspindle/rack/image_name.hpp"

#include <boost/container/flat_map.hpp>

#include <cstdint>

namespace egretspindle
{

/// Headroom by image.
using image_headroom = boost::container::flat_map<image_name, double>;

/// What matters of a target to tasks that use idle processors.
struct target_mix
{
    std::int64_t idle_users_milli = 0; ///< wanted by tasks on idle processors
    std::int64_t unused_milli = 0;     ///< reserved by other tasks, not used
    /// Headroom that company may still take from the serving tasks of an
    /// image, by image.
    image_headroom spare_headroom;
    /// How few other places there are for some image that works here without
    /// harm: the share of serving images that it harms elsewhere.
    double scarcity = 0;
    double reserved = 0; ///< the same for images whose starts wait
};

} // namespace egretspindle

#endif
