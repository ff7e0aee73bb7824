/// \file
/// Detection of store outages that affect all hosts.

#ifndef EGRETSPINDLE_CLUSTER_STORE_CONTACT_HPP
#define EGRETSPINDLE_CLUSTER_STORE_CONTACT_HPP

#include "egretspindle/cluster/cluster_view.hpp"
#include "egretspindle/core/boot_clock.hpp"

#include <map>
#include <string>

namespace egretspindle
{

/// Latest report of another host on whether it reaches the store.
struct contact_report
{
    /// When the other host found it out, by the clock of this host and without
    /// the delay of the network.
    boot_time_point measured_at;
    bool has_store_contact = false; ///< see `contact_timeout`
};

/// Latest reports by name of the host.
using contact_reports = std::map<std::string, contact_report>;

/// A host that has not read the store for this long reports that it has no
/// contact. The store is read every second.
constexpr milliseconds contact_timeout{1'500};

/// A report is valid up to this age. Hosts report at least once a second, and
/// datagrams may be lost.
constexpr milliseconds contact_report_lifetime{2'000};

/// Returns whether no other host that may claim resources reaches the store.
/// The caller checks that this host has no contact itself.
///
/// Every other host that was live at the last read must have reported that it
/// has no contact. If the store rejects only this host, other hosts report
/// contact; if the network cuts this host off, their reports are missing.
[[nodiscard]] bool is_cluster_wide_outage(const cluster_view& view,
                                          const std::string& self,
                                          const contact_reports& reports,
                                          const liveness_limits& limits,
                                          boot_time_point now);

} // namespace egretspindle

#endif
