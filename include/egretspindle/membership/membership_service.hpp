/// \file
/// Service that runs the failure detector of a host.

#ifndef EGRETSPINDLE_MEMBERSHIP_MEMBERSHIP_SERVICE_HPP
#define EGRETSPINDLE_MEMBERSHIP_MEMBERSHIP_SERVICE_HPP

#include "egretspindle/adapters/store_client.hpp"
#include "egretspindle/core/clock.hpp"
#include "egretspindle/membership/member_change.hpp"
#include "egretspindle/membership/membership_options.hpp"
#include "egretspindle/net/rpc_client.hpp"
#include "egretspindle/protocol/member_digest.hpp"
#include "egretspindle/protocol/ping_message.hpp"

#include <absl/status/statusor.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace egretspindle
{

/// Sends a message to an address and returns the reply.
///
/// The parameters are `ip:port`, the message type, the message and the
/// timeout.
using ping_transport = std::function<absl::StatusOr<ping_message>(
    const std::string&, std::string_view, const ping_message&, milliseconds)>;

/// Probes other members, answers their probes and maintains the list of
/// members.
///
/// All functions may be called from several threads. The lock of the
/// membership state is not held while `describe_self` or the listener runs.
class membership_service
{
public:
    /// \param options        identity, contact addresses and periods
    /// \param client         sends the messages; must outlive the service
    /// \param describe_self  returns racks and plan version of this host
    /// \param store          holds the `member/` rows; may be null
    membership_service(membership_options options, rpc_client& client,
                       std::function<member_digest()> describe_self,
                       store_client* store = nullptr);

    /// Constructs a service that sends its messages through `transport`.
    membership_service(membership_options options, ping_transport transport,
                       std::function<member_digest()> describe_self,
                       store_client* store = nullptr);
    ~membership_service();
    membership_service(const membership_service&) = delete;
    membership_service& operator=(const membership_service&) = delete;

    /// Sets the function that is called for each change of a member. Must be
    /// called before `start`.
    void on_change(std::function<void(const member_change&)> listener);

    /// Starts the threads that join the cluster and probe its members.
    void start();

    /// Stops without notifying other members; does nothing if already stopped.
    void stop();

    /// Enters the state `leaving` and notifies other members before it returns.
    ///
    /// The service continues to run until `stop`, so that the racks can be
    /// handed over in the meantime.
    void leave();

    /// Returns the digests of all members, this host included, by name.
    [[nodiscard]] std::vector<member_digest> members() const;

    /// Returns the sorted names of the hosts of a data centre that can receive
    /// work: neither dead nor leaving nor unreachable.
    [[nodiscard]] std::vector<std::string>
    live_hosts(std::string_view data_center) const;

    /// Returns `ip:port` of a member, or an empty string if it is not known.
    [[nodiscard]] std::string address_of(const std::string& name) const;

    /// Returns the digest of a member, or nothing if it is not known.
    [[nodiscard]] std::optional<member_digest>
    find(const std::string& name) const;

    /// Returns when this host last recorded that a member of the data centre
    /// became active (alive or suspect) or ceased to be, or the creation of
    /// this service if that never happened.
    [[nodiscard]] time_point last_change(const std::string& data_center) const;

    /// Returns whether updates from a data centre arrived recently.
    [[nodiscard]] bool is_reachable(const std::string& data_center) const;

    /// Returns the incarnation with which this process started.
    [[nodiscard]] std::int64_t process_incarnation() const noexcept;

    /// Returns the options of this host, with the chosen random seed and
    /// incarnation filled in.
    [[nodiscard]] const membership_options& options() const noexcept;

    /// Handles a received ping and returns the reply.
    [[nodiscard]] absl::StatusOr<ping_message>
    handle_ping(const std::string& sender, const ping_message& message);

    /// Probes `message.target` on behalf of the sender and waits for the
    /// result.
    ///
    /// \returns `not_found` if the member is not known here, or the error of
    ///          the probe
    [[nodiscard]] absl::StatusOr<ping_message>
    handle_ping_request(const std::string& sender, const ping_message& message);

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace egretspindle

#endif
