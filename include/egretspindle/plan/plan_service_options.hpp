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

/// Names and times of the plan service.
struct plan_service_options
{
    std::string host_name;
    std::chrono::milliseconds poll_period{2000};
    std::chrono::milliseconds store_timeout{1000};
    std::chrono::milliseconds peer_timeout{700};
    /// How long a host without a plan waits for the store, which has the
    /// latest version for certain, before it takes one from a peer.
    std::chrono::milliseconds first_plan_delay{1500};
    /// Facts for validation; called from several threads. May be empty.
    std::function<plan_context()> context;
};

} // namespace egretspindle

#endif
