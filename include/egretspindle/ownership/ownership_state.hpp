/// \file
/// State of the ownership decisions of one host.

#ifndef EGRETSPINDLE_OWNERSHIP_OWNERSHIP_STATE_HPP
#define EGRETSPINDLE_OWNERSHIP_OWNERSHIP_STATE_HPP

#include "egretspindle/core/clock.hpp"
#include "egretspindle/ownership/ownership_event.hpp"
#include "egretspindle/ownership/ownership_options.hpp"
#include "egretspindle/ownership/rack_id.hpp"
#include "egretspindle/ownership/rack_record.hpp"
#include "egretspindle/protocol/member_digest.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace egretspindle
{

/// State that the ownership functions read and update; they do no I/O.
struct ownership_state
{
    ownership_options options;
    std::int64_t incarnation = 0; ///< of this process when it started
    std::map<rack_id, rack_record> racks;
    std::map<std::string, member_digest> members; ///< of this data centre
    std::vector<std::string> live; ///< sorted names, see `live_hosts`
    time_point started;
    time_point last_decision;
    time_point next_scan;
    time_point next_handover;
    std::optional<time_point> store_failing_since;
    bool is_stopping = false;
    std::uint64_t transaction_count = 0;
    std::uint64_t generation = 0; ///< increases when the host resumes
    /// Time at which each entry host was last on the host list.
    std::map<std::string, time_point> last_listed;
    bool lists_entry_hosts = false;      ///< the list includes this host
    std::vector<ownership_event> events; ///< not delivered yet
};

/// Returns the initial state of a host that owns no rack.
///
/// \param incarnation  of this process when it started
[[nodiscard]] ownership_state make_ownership_state(ownership_options options,
                                                   std::int64_t incarnation,
                                                   time_point now);

} // namespace egretspindle

#endif
