/// \file
/// Options of the plan service.

#ifndef EGRETSPINDLE_PLAN_PLAN_SERVICE_OPTIONS_HPP
#define EGRETSPINDLE_PLAN_PLAN_SERVICE_OPTIONS_HPP

#include "egretspindle/plan/plan_context.hpp"

#include <chrono>
#include <functional>
#include <string>

namespace egretspindle
{

/// Name of the host, and periods and timeouts of the plan service.
struct plan_service_options
{
    std::string host_name;
    std::chrono::milliseconds poll_period{2000};
    std::chrono::milliseconds store_timeout{1000};
    std::chrono::milliseconds peer_timeout{700};
    /// How long a host without a plan waits for the store before it fetches one
    /// from a peer. Only the store is certain to have the latest version.
    std::chrono::milliseconds first_plan_delay{1500};
    /// Returns the data for validation; called from several threads. If empty,
    /// documents are validated without it.
    std::function<plan_context()> context;
};

} // namespace egretspindle

#endif
