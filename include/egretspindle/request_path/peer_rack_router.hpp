/// \file
/// Reaches rack owners through membership and messages.

#ifndef EGRETSPINDLE_REQUEST_PATH_PEER_RACK_ROUTER_HPP
#define EGRETSPINDLE_REQUEST_PATH_PEER_RACK_ROUTER_HPP

#include "egretspindle/membership/membership_service.hpp"
#include "egretspindle/net/rpc_client.hpp"
#include "egretspindle/request_path/rack_router.hpp"
#include "egretspindle/request_path/rack_table.hpp"

#include <functional>
#include <mutex>
#include <random>
#include <set>
#include <string>

namespace egretspindle
{

/// Returns the racks of this data centre by the platform's host list.
using rack_names = std::function<std::set<std::string>()>;

/// Calls the owner of a rack on this host directly and on others by message.
class peer_rack_router : public rack_router
{
public:
    peer_rack_router(rack_table& racks, membership_service& members,
                     rpc_client& client, rack_names names);

    [[nodiscard]] std::vector<rack_candidate>
    candidates(const request_spec& spec) override;
    [[nodiscard]] absl::StatusOr<place_reply>
    place(const place_request& request) override;
    [[nodiscard]] absl::StatusOr<task_report>
    task_state(const task_query& query) override;
    [[nodiscard]] absl::StatusOr<task_report>
    stop(const task_query& query) override;
    absl::Status acknowledge(const task_query& query) override;
    [[nodiscard]] absl::StatusOr<std::vector<task_report>>
    find(const find_request& request) override;

    /// Answers `find` for the racks of this host.
    [[nodiscard]] find_reply find_local(const find_request& request) const;

    /// Returns summaries of the racks of this data centre.
    [[nodiscard]] std::vector<rack_summary> summaries() const;

private:
    using query_function = task_report (rack_runtime::*)(const task_query&);

    absl::StatusOr<std::string> owner_address(const std::string& data_center,
                                              const std::string& rack);
    template <typename Reply, typename Message>
    absl::StatusOr<Reply> pass_on(std::string_view type,
                                  const Message& message);
    absl::StatusOr<place_reply> place_anywhere(const place_request& request);
    absl::StatusOr<task_report> ask_owner(std::string_view type,
                                          query_function function,
                                          const task_query& query);

    rack_table& racks_;
    membership_service& members_;
    rpc_client& client_;
    rack_names names_;
    std::mutex rng_mutex_;
    std::mt19937_64 rng_;
};

} // namespace egretspindle

#endif
