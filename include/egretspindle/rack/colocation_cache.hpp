/// \file
/// Updates the cached co-location summaries of a rack's targets.

#ifndef EGRETSPINDLE_RACK_COLOCATION_CACHE_HPP
#define EGRETSPINDLE_RACK_COLOCATION_CACHE_HPP

#include "egretspindle/core/clock.hpp"
#include "egretspindle/rack/interference_model.hpp"
#include "egretspindle/rack/rack_state.hpp"

namespace egretspindle
{

/// Recomputes the co-location summary and free capacity of a target if its runs
/// or its entry have changed. `rack_state::model_inputs` has to be up to date.
void refresh_colocation(rack_state& rack, rack_target& target,
                        const interference_model& model);

/// Updates `rack_target::cached` of all targets of a rack.
void refresh_colocations(rack_state& rack, const interference_model& model,
                         time_point now);

} // namespace egretspindle

#endif
