/// \file
/// Runner of the rack ownership decisions.

#ifndef EGRETSPINDLE_OWNERSHIP_OWNERSHIP_SERVICE_HPP
#define EGRETSPINDLE_OWNERSHIP_OWNERSHIP_SERVICE_HPP

#include "egretspindle/adapters/host_entry.hpp"
#include "egretspindle/adapters/store_client.hpp"
#include "egretspindle/membership/membership_service.hpp"
#include "egretspindle/net/rpc_client.hpp"
#include "egretspindle/ownership/owned_rack.hpp"
#include "egretspindle/ownership/ownership_callbacks.hpp"
#include "egretspindle/ownership/ownership_options.hpp"
#include "egretspindle/ownership/rack_id.hpp"
#include "egretspindle/ownership/rack_owner.hpp"
#include "egretspindle/protocol/rack_release.hpp"

#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace egretspindle
{

/// Returns the last known host list; empty while none is known.
using host_list_snapshot = std::function<std::vector<host_entry>()>;

/// Owns racks of this host's data centre through rows of the store.
///
/// All functions may be called from several threads, but `release_all` and
/// `stop` not from a callback.
class ownership_service
{
public:
    /// All references outlive the service.
    ownership_service(ownership_options options, membership_service& members,
                      store_client& store, host_list_snapshot hosts,
                      rpc_client& client, ownership_callbacks callbacks);
    ~ownership_service();
    ownership_service(const ownership_service&) = delete;
    ownership_service& operator=(const ownership_service&) = delete;

    /// Starts to take racks.
    void start();

    /// Stops; reports every rack as lost, but tells no other host.
    void stop();

    /// Returns the racks of this host; none right after a gap in its time.
    [[nodiscard]] std::vector<owned_rack> owned() const;

    /// Returns the owner of a rack from the digests of the members, else from
    /// its row. Blocks for one read of the store when neither is known.
    [[nodiscard]] std::optional<rack_owner> owner_of(const rack_id& rack) const;

    /// Hands every rack to its preferred successor and takes no rack any
    /// more. Racks that no host took in time are reported as lost.
    ///
    /// \returns the number of racks that a successor took
    std::size_t release_all(milliseconds limit);

    /// Handles `release_rack`: a new owner asks for the release, or an owner
    /// that stops (`released` set) asks this host to take its rack.
    [[nodiscard]] absl::StatusOr<rack_release>
    handle_release(const std::string& sender, const rack_release& message);

    /// A target rejected the token of a rack: reports it as lost and rereads
    /// its row. May be called from a callback; `lost` follows on another
    /// thread.
    ///
    /// \param seen_epoch  epoch that the target reported, or 0
    void on_stale_epoch(const rack_id& rack, std::int64_t seen_epoch = 0);

    /// Returns whether the last call to the store succeeded.
    [[nodiscard]] bool is_store_up() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace egretspindle

#endif
