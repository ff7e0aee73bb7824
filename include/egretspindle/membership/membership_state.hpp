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

/// Indirect probes of one member whose results are outstanding.
struct pending_probes
{
    std::size_t remaining = 0;    ///< probes without a result
    std::int64_t incarnation = 0; ///< of the member when it was probed
};

/// State of the failure detector. The functions of this package that read and
/// change it get the time as an argument and do no I/O.
struct membership_state
{
    membership_options options;
    member_digest self;
    std::map<std::string, member_record> members; ///< without this host
    std::map<std::string, pending_probes>
        pending_indirect_probes;          ///< by probed member
    std::vector<std::string> probe_order; ///< shuffled; own data centre only
    std::size_t next_probe_index = 0;     ///< index into `probe_order`
    std::uint64_t probe_count = 0;
    std::string last_contacted_center; ///< other data centre contacted last
    std::uint64_t send_count = 0;      ///< messages and digests with content
    std::uint64_t generation = 0;      ///< rises when the host resumes
    time_point started;
    time_point last_advance_call;
    time_point next_probe;
    time_point next_cross_center;
    time_point next_reconnect;
    time_point next_join;
    time_point next_change_send;
    time_point next_sync;
    milliseconds sync_interval{1000};     ///< doubles up to the sync period
    bool has_unsent_changes = false;      ///< a state change is to be sent
    std::int64_t newest_plan_version = 0; ///< highest of all members
    std::set<std::string> contacts;       ///< addresses from seeds and rows
    std::map<std::string, time_point> last_change;  ///< by data centre
    std::map<std::string, time_point> last_contact; ///< by data centre
    std::vector<member_change> changes; ///< not yet reported to the listener
    std::mt19937_64 random;
};

/// Returns the initial state of a host, without other members.
[[nodiscard]] membership_state make_membership_state(membership_options options,
                                                     time_point now);

} // namespace egretspindle

#endif
