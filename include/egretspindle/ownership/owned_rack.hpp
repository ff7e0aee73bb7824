/// \file
/// Rack that this host owns.

#ifndef EGRETSPINDLE_OWNERSHIP_OWNED_RACK_HPP
#define EGRETSPINDLE_OWNERSHIP_OWNED_RACK_HPP

#include "egretspindle/adapters/fencing_token.hpp"
#include "egretspindle/adapters/host_entry.hpp"
#include "egretspindle/core/clock.hpp"
#include "egretspindle/protocol/rack_release.hpp"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace egretspindle
{

/// Ownership of a rack as passed to the rack runtime.
struct owned_rack
{
    std::string data_center;
    std::string rack;
    fencing_token token; ///< for all targets without an entry in `claims`
    time_point acquired;
    std::vector<host_entry> targets; ///< as listed when last updated

    /// True while the ownership is not recorded in the store. Commands may
    /// then be sent only to targets with an entry in `claims`.
    bool claims_only = false;
    std::map<std::string, fencing_token> claims; ///< target to its token

    std::string previous_owner; ///< empty when there was none
    /// Earlier owners that may still renew leases: they have not confirmed
    /// that they stopped, and have not been absent from the host list for
    /// longer than a lease.
    std::set<std::string> unreleased;
    bool previous_released = false; ///< `unreleased` is empty
    time_point released_at;         ///< time of the last confirmation
    /// Last renewals by earlier owners, with ages as of `released_at`.
    std::vector<target_renewal> previous_renewals;
};

} // namespace egretspindle

#endif
