/// \file
/// Operators' HTTP interface.

#ifndef EGRETSPINDLE_ADMIN_ADMIN_SERVICE_HPP
#define EGRETSPINDLE_ADMIN_ADMIN_SERVICE_HPP

#include "egretspindle/admin/admin_hooks.hpp"
#include "egretspindle/net/http_limits.hpp"
#include "egretspindle/net/http_request.hpp"
#include "egretspindle/net/http_response.hpp"
#include "egretspindle/plan/plan_service.hpp"
#include "egretspindle/settings/operator_settings.hpp"

#include <string>
#include <vector>

namespace egretspindle
{

/// Returns the limits for the HTTP server of the operators' interface.
[[nodiscard]] http_limits make_admin_limits() noexcept;

/// Answers the requests under `/admin/v1`. Usable from several threads.
///
/// \code
/// admin_service admin(settings.operators, plans, table, hooks);
/// http_server server(make_admin_limits(), [&](const http_request& request)
///                    { return admin.handle(request); });
/// \endcode
class admin_service
{
public:
    /// \param operators  operators with their tokens
    /// \param plans      outlives the service, as does `table`
    admin_service(std::vector<operator_settings> operators, plan_service& plans,
                  plan_table& table, admin_hooks hooks);

    /// Answers one request.
    [[nodiscard]] http_response handle(const http_request& request);

private:
    std::vector<operator_settings> operators_;
    plan_service& plans_;
    plan_table& table_;
    admin_hooks hooks_;
};

} // namespace egretspindle

#endif
