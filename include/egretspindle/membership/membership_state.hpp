/// \file
/// State of the failure detector of one host.

#ifndef EGRETSPINDLE_MEMBERSHIP_MEMBERSHIP_STATE_HPP
#define EGRETSPINDLE_MEMBERSHIP_MEMBERSHIP_STATE_HPP

#include "egretspindle/membership/member_change.hpp"
#include "egretspindle/membership/member_record.hpp"
#include "egretspindle/membership/membership_options.hpp"

#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace egretspindle
{

/// Indirect probes of one member that have not ended yet.
struct indirect_round
{
    std::size_t open = 0;
    std::int64_t incarnation = 0; ///< that a suspicion would apply to
};

/// Everything that the pure functions of this package read and change.
struct membership_state
{
    membership_options options;
    member_digest self;
    std::map<std::string, member_record> members; ///< without this host
    std::map<std::string, indirect_round> rounds; ///< by probed member
    std::vector<std::string> probe_order;         ///< shuffled, own data centre
    std::size_t next_in_order = 0;
    std::uint64_t probe_count = 0;
    std::string last_cross_center; ///< probed last over a cross-link
    std::uint64_t send_count = 0;
    std::uint64_t generation = 0; ///< rises when the host resumes
    time_point started;
    time_point last_advance;
    time_point next_probe;
    time_point next_cross;
    time_point next_reconnect;
    time_point next_join;
    time_point next_event;
    time_point next_sync;
    milliseconds sync_interval{1000};     ///< doubles up to the sync period
    bool has_events = false;              ///< a state change waits to be told
    std::int64_t newest_plan_version = 0; ///< of any member
    std::set<std::string> contacts;       ///< addresses from seeds and rows
    std::map<std::string, time_point> last_change;  ///< by data centre
    std::map<std::string, time_point> last_contact; ///< by data centre
    std::vector<member_change> changes; ///< not yet told to the listener
    std::mt19937_64 random;
};

/// Makes the state of a host that knows only itself.
[[nodiscard]] membership_state make_membership_state(membership_options options,
                                                     time_point now);

} // namespace egretspindle

#endif
