/// \file
/// Runner of the failure detector.

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
/// Parameters are `ip:port`, the message type, the message and the timeout.
using ping_transport = std::function<absl::StatusOr<ping_message>(
    const std::string&, std::string_view, const ping_message&, milliseconds)>;

/// Member of the cluster: probes others, answers probes, keeps the view.
///
/// All functions may be called from several threads. No lock is held while
/// `describe_self` or the listener runs.
class membership_service
{
public:
    /// \param options        identity, contacts and periods
    /// \param client         connections to all hosts; outlives the service
    /// \param describe_self  returns racks and plan version of this host
    /// \param store          holds the `member/` rows; may be null
    membership_service(membership_options options, rpc_client& client,
                       std::function<member_digest()> describe_self,
                       store_client* store = nullptr);

    /// As above, with messages sent by `transport`.
    membership_service(membership_options options, ping_transport transport,
                       std::function<member_digest()> describe_self,
                       store_client* store = nullptr);
    ~membership_service();
    membership_service(const membership_service&) = delete;
    membership_service& operator=(const membership_service&) = delete;

    /// Sets the receiver of state changes. Call before `start`.
    void on_change(std::function<void(const member_change&)> listener);

    /// Starts to join and to probe.
    void start();

    /// Stops without telling anyone; does nothing when already stopped.
    void stop();

    /// Enters the state `leaving` and tells other hosts before it returns.
    ///
    /// The service continues to run until `stop`, so that racks can be handed
    /// over meanwhile.
    void leave();

    /// Returns the digests of all members, this host included, by name.
    [[nodiscard]] std::vector<member_digest> members() const;

    /// Returns the sorted names of the hosts of a data centre that can be
    /// given work: neither dead nor leaving nor unreachable.
    [[nodiscard]] std::vector<std::string>
    live_hosts(std::string_view data_center) const;

    /// Returns `ip:port` of a member, or an empty string when not known.
    [[nodiscard]] std::string address_of(const std::string& name) const;

    /// Returns the digest of a member.
    [[nodiscard]] std::optional<member_digest>
    find(const std::string& name) const;

    /// Returns when the set of live hosts of a data centre last changed here;
    /// the start of this service when it never did.
    [[nodiscard]] time_point last_change(const std::string& data_center) const;

    /// Returns whether news of a data centre arrived recently.
    [[nodiscard]] bool is_reachable(const std::string& data_center) const;

    /// Returns the incarnation that this process started with.
    [[nodiscard]] std::int64_t process_incarnation() const noexcept;

    /// Returns name, advertised address and data centre of this host.
    [[nodiscard]] const membership_options& options() const noexcept;

    /// Answers a probe.
    [[nodiscard]] absl::StatusOr<ping_message>
    handle_ping(const std::string& sender, const ping_message& message);

    /// Probes `message.target` for the sender; waits for the result.
    [[nodiscard]] absl::StatusOr<ping_message>
    handle_ping_request(const std::string& sender, const ping_message& message);

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace egretspindle

#endif
