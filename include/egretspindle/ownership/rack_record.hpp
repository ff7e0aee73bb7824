/// \file
/// State that a host keeps for each rack of its data centre.

#ifndef EGRETSPINDLE_OWNERSHIP_RACK_RECORD_HPP
#define EGRETSPINDLE_OWNERSHIP_RACK_RECORD_HPP

#include "egretspindle/adapters/host_entry.hpp"
#include "egretspindle/adapters/store_transaction.hpp"
#include "egretspindle/core/clock.hpp"
#include "egretspindle/ownership/owned_rack.hpp"
#include "egretspindle/ownership/owner_row.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace egretspindle
{

/// Write of an owner row whose result is not known yet.
struct pending_acquisition
{
    store_transaction transaction;
    std::int64_t checked_version = 0;
    std::string previous_owner;
    owner_row row;
    bool needs_read = false; ///< result unknown; the row is read next
};

/// Owner row, ownership and pending operations of a rack.
struct rack_record
{
    std::vector<host_entry> targets;
    time_point listed_at;

    bool is_row_known = false;
    std::int64_t row_version = 0;
    owner_row row;
    time_point next_read;

    std::optional<owned_rack> owned;
    /// Token of an ownership that resumes if the row still names this process.
    std::optional<fencing_token> suspended;
    std::int64_t fenced_epoch = 0; ///< lower epochs are never used again
    std::int64_t seen_epoch = 0;   ///< highest epoch a target reported

    /// Host that acquired the rack from this one. The rack stays with it
    /// until `reacquire_after`, even while this host considers it dead.
    std::string acquired_by;
    time_point reacquire_after;

    std::optional<pending_acquisition> pending;
    bool is_busy = false; ///< a row operation is in progress
    /// Epoch of the owner that offered the rack to this host, or -1.
    std::int64_t requested_epoch = -1;
    time_point next_acquisition;
    time_point preferred_since; ///< this host, while another one owns the rack
    time_point unlisted_since;  ///< the live owner's digest lacks the rack
    bool is_preferred = false;
    bool is_unlisted = false;

    std::map<std::string, time_point> next_claim;           ///< by target
    std::map<std::string, time_point> next_release_request; ///< by host
};

} // namespace egretspindle

#endif
