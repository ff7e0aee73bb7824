/// \file
/// Collection of the status of all hosts.

#ifndef EGRETSPINDLE_ADMIN_COLLECT_STATUS_HPP
#define EGRETSPINDLE_ADMIN_COLLECT_STATUS_HPP

#include "egretspindle/admin/admin_hooks.hpp"
#include "egretspindle/admin/cluster_status.hpp"

namespace egretspindle
{

/// Queries all members in parallel, with a limit on concurrent calls.
[[nodiscard]] cluster_status collect_status(const admin_hooks& hooks);

} // namespace egretspindle

#endif
