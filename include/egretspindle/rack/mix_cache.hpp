/// \file
/// Keeps the mixes of a rack's targets up to date.

#ifndef EGRETSPINDLE_RACK_MIX_CACHE_HPP
#define EGRETSPINDLE_RACK_MIX_CACHE_HPP

#include "egretspindle/core/clock.hpp"
#include "egretspindle/rack/interference_model.hpp"
#include "egretspindle/rack/rack_state.hpp"

namespace egretspindle
{

/// Makes the mix and the free room of a target anew if its runs or its entry
/// have changed. The rack's basis has to be current.
void refresh_mix(rack_state& rack, rack_target& target,
                 const interference_model& model);

/// Brings `rack_target::cached` of all targets of a rack up to date.
void refresh_mixes(rack_state& rack, const interference_model& model,
                   time_point now);

} // namespace egretspindle

#endif
