/// \file
/// What the ownership service calls.

#ifndef EGRETSPINDLE_OWNERSHIP_OWNERSHIP_CALLBACKS_HPP
#define EGRETSPINDLE_OWNERSHIP_OWNERSHIP_CALLBACKS_HPP

#include "egretspindle/adapters/fencing_token.hpp"
#include "egretspindle/adapters/host_entry.hpp"
#include "egretspindle/ownership/owned_rack.hpp"
#include "egretspindle/ownership/rack_id.hpp"

#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>
#include <vector>

namespace egretspindle
{

/// Functions of the rack runtime. `acquired`, `updated` and `lost` are called
/// one at a time and in order; no lock of the service is held.
struct ownership_callbacks
{
    /// This host owns the rack from now on. Called again with a higher token
    /// when an ownership by claims has been recorded in the store.
    std::function<void(const owned_rack&)> acquired;

    /// Claims, targets or the confirmation of the previous owner changed.
    std::function<void(const owned_rack&)> updated;

    /// The rack is not this host's any more. No renewal may be sent after the
    /// function has returned.
    std::function<void(const rack_id&)> lost;

    /// Returns when each target was last renewed; also after `lost`.
    std::function<std::vector<target_renewal>(const rack_id&)> last_renewals;

    /// Claims a target whose lease has expired; makes one network call.
    std::function<absl::StatusOr<fencing_token>(const host_entry&,
                                                std::int64_t epoch)>
        claim_target;
};

} // namespace egretspindle

#endif
