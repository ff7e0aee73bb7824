/// \file
/// Callbacks of the ownership service.

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

/// Callbacks into the rack runtime. `acquired`, `updated` and `lost` are called
/// one at a time and in order, without any lock of the service.
struct ownership_callbacks
{
    /// This host has acquired the rack. Called again with a higher token when
    /// an ownership that was based on claims is recorded in the store.
    std::function<void(const owned_rack&)> acquired;

    /// The claims, the targets or the releases by earlier owners changed.
    std::function<void(const owned_rack&)> updated;

    /// This host no longer owns the rack. No renewal may be sent after the
    /// callback has returned.
    std::function<void(const rack_id&)> lost;

    /// Returns the last renewal of each target. Also called after `lost`.
    std::function<std::vector<target_renewal>(const rack_id&)> last_renewals;

    /// Claims a target whose lease has expired, with one network call.
    std::function<absl::StatusOr<fencing_token>(const host_entry&,
                                                std::int64_t epoch)>
        claim_target;
};

} // namespace egretspindle

#endif
