/// \file
/// Callers' HTTP interface.

#ifndef EGRETSPINDLE_NODE_CALLER_SERVICE_HPP
#define EGRETSPINDLE_NODE_CALLER_SERVICE_HPP

#include "egretspindle/adapters/caller_limits.hpp"
#include "egretspindle/metrics/metric_registry.hpp"
#include "egretspindle/net/http_request.hpp"
#include "egretspindle/net/http_response.hpp"
#include "egretspindle/plan/plan_table.hpp"
#include "egretspindle/request_path/request_router.hpp"
#include "egretspindle/settings/limit_settings.hpp"

#include <atomic>
#include <functional>
#include <string>

namespace egretspindle
{

/// Callbacks from the caller interface to the rest of the host.
struct caller_hooks
{
    /// Returns why the host is not ready; empty when it is.
    std::function<std::string()> not_ready_reason;
    /// Updates the gauges; called before the metrics are formatted.
    std::function<void()> update_gauges;
};

/// Serves `/v1/requests`, `/healthz`, `/readyz` and `/metrics`. Called from
/// several threads.
class caller_service
{
public:
    /// The referenced objects must outlive the service.
    caller_service(limit_settings limits, request_router& router,
                   plan_table& plans, metric_registry& metrics,
                   caller_hooks hooks);

    /// Handles one request.
    [[nodiscard]] http_response handle(const http_request& request);

private:
    http_response submit(const http_request& request);
    http_response query(const http_request& request);
    caller_limits make_caller_limits() const;
    absl::StatusOr<request_reply> submit_if_permitted(request_spec spec,
                                                      milliseconds wait);
    absl::Status check_plan(request_spec& spec) const;
    http_response reply(const absl::StatusOr<request_reply>& result);

    limit_settings limits_;
    request_router& router_;
    plan_table& plans_;
    metric_registry& metrics_;
    caller_hooks hooks_;
    std::atomic<std::int64_t> urgent_in_service_{0};
};

} // namespace egretspindle

#endif
