/// \file
/// Whether an outage of the store concerns all hosts.

#ifndef EGRETSPINDLE_CLUSTER_STORE_CONTACT_HPP
#define EGRETSPINDLE_CLUSTER_STORE_CONTACT_HPP

#include "egretspindle/cluster/cluster_view.hpp"
#include "egretspindle/core/boot_clock.hpp"

#include <map>
#include <string>

namespace egretspindle
{

/// What another host said last of its contact with the store.
struct contact_report
{
    boot_time_point received_at;
    bool has_store_contact = false;
};

/// Reports by host.
using contact_reports = std::map<std::string, contact_report>;

/// A host that has not read the store for this long says that it has no
/// contact. Reads are made every second.
constexpr milliseconds contact_silence{1'500};

/// A report holds for this long after it has arrived. Hosts report at least
/// once a second, and datagrams may be lost.
constexpr milliseconds contact_report_age{2'000};

/// Returns whether no host that may claim resources reaches the store.
///
/// Every other host that was live at the last read has to say so. A host that
/// the store rejects alone is contradicted by the others, and one that is cut
/// off hears nothing from them.
[[nodiscard]] bool is_outage_for_all(const cluster_view& view,
                                     const std::string& self,
                                     const contact_reports& reports,
                                     const liveness_limits& limits,
                                     boot_time_point now);

} // namespace egretspindle

#endif
