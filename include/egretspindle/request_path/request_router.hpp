/// \file
/// Router from callers to the coordinators of their requests.

#ifndef EGRETSPINDLE_REQUEST_PATH_REQUEST_ROUTER_HPP
#define EGRETSPINDLE_REQUEST_PATH_REQUEST_ROUTER_HPP

#include "egretspindle/membership/membership_service.hpp"
#include "egretspindle/net/rpc_client.hpp"
#include "egretspindle/protocol/ended_message.hpp"
#include "egretspindle/protocol/key_query.hpp"
#include "egretspindle/request_path/coordinator.hpp"

#include <absl/status/statusor.h>

#include <functional>
#include <string>

namespace egretspindle
{

/// Forwards callers' requests to their coordinators, on this host or another
/// one of the same data centre.
class request_router
{
public:
    request_router(coordinator& local, membership_service& members,
                   rpc_client& client);

    /// Returns the preferred coordinator of a key among the live hosts.
    [[nodiscard]] std::string coordinator_of(const std::string& key) const;

    /// Returns whether this host is the preferred coordinator of a shard of
    /// open requests.
    [[nodiscard]] bool is_own_shard(int shard) const;

    /// Submits a request; retries it with the next coordinator when one fails.
    ///
    /// \param wait  longest time that the caller waits for the final reply; a
    ///              coordinator that fails is retried for at least 6 s
    ///              (`min_retry_time`)
    /// \returns the reply, `unknown` or `not_run` when no coordinator answered,
    ///          or the error of the coordinator
    [[nodiscard]] absl::StatusOr<request_reply> submit(const request_spec& spec,
                                                       milliseconds wait);

    /// Returns the reply of a request; waits up to `query.wait_ms` for the
    /// final one.
    [[nodiscard]] absl::StatusOr<request_reply> wait(const key_query& query);

    /// Cancels a request unless it has completed, and returns its reply.
    [[nodiscard]] absl::StatusOr<request_reply> cancel(const std::string& key);

    /// Forwards the report of an ended attempt to the coordinator of its
    /// request, in the given data centre; an empty name means that of this
    /// host.
    ///
    /// \returns OK once the coordinator has recorded the outcome
    [[nodiscard]] absl::Status report_end(const std::string& data_center,
                                          const ended_message& message);

private:
    using local_call = std::function<absl::StatusOr<request_reply>()>;
    using remote_call = std::function<absl::StatusOr<request_reply>(
        const std::string& address)>;

    std::string host_of_shard(int shard) const;
    absl::StatusOr<request_reply>
    call(const std::string& key, milliseconds limit, const local_call& local,
         const remote_call& remote, bool& is_outcome_unknown) const;

    coordinator& local_;
    membership_service& members_;
    rpc_client& client_;
};

} // namespace egretspindle

#endif
