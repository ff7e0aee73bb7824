/// \file
/// Interface from the coordinator to rack owners.

#ifndef EGRETSPINDLE_REQUEST_PATH_RACK_ROUTER_HPP
#define EGRETSPINDLE_REQUEST_PATH_RACK_ROUTER_HPP

#include "egretspindle/protocol/find_request.hpp"
#include "egretspindle/protocol/place_reply.hpp"
#include "egretspindle/protocol/place_request.hpp"
#include "egretspindle/protocol/task_query.hpp"
#include "egretspindle/protocol/task_report.hpp"

#include <absl/status/statusor.h>

#include <chrono>
#include <string>
#include <vector>

namespace egretspindle
{

/// Rack that may accept a task.
struct rack_candidate
{
    std::string data_center;
    std::string rack;      ///< empty: any rack of the data centre
    bool may_evict = true; ///< whether batch tasks may be evicted there
};

/// Calls the owners of racks, on this host or on others. Thread-safe.
class rack_router
{
public:
    virtual ~rack_router() = default;

    /// Returns racks that may have free capacity, in the order in which to ask
    /// them; those of this data centre come first.
    [[nodiscard]] virtual std::vector<rack_candidate>
    candidates(const request_spec& spec) = 0;

    /// Asks the owner of a rack to start an attempt or to reserve capacity for
    /// it.
    ///
    /// \returns the reply of the owner; `unavailable`, `stale_epoch`,
    ///          `overloaded`, `not_found` or `unauthorized` when nothing was
    ///          started; any other error when the attempt may have started
    [[nodiscard]] virtual absl::StatusOr<place_reply>
    place(const place_request& request) = 0;

    /// Returns the state of an attempt as its target or else its rack owner
    /// knows it; waits up to `query.wait_ms` for its end. An attempt that the
    /// target does not know is stopped there, so that a delayed start is
    /// refused.
    ///
    /// \returns an error when the rack owner was not reached
    [[nodiscard]] virtual absl::StatusOr<task_report>
    task_state(const task_query& query) = 0;

    /// Stops an attempt, or prevents its start.
    ///
    /// \returns its state after the stop, or an error when the rack owner was
    ///          not reached
    [[nodiscard]] virtual absl::StatusOr<task_report>
    stop(const task_query& query) = 0;

    /// Allows the target to drop the result of an attempt.
    virtual absl::Status acknowledge(const task_query& query) = 0;

    /// Searches all racks of this data centre for attempts of a request, and
    /// fences attempts up to `fence_attempt`: rack owners refuse to place them
    /// for the next 120 s (`fence_retention` in rack_maintenance.cpp).
    ///
    /// \returns `unavailable` when a rack could not be searched
    [[nodiscard]] virtual absl::StatusOr<std::vector<task_report>>
    find(const find_request& request) = 0;
};

} // namespace egretspindle

#endif
