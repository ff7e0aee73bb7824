/// \file
/// Service that runs the rack ownership decisions.

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

/// Returns the last known host list, or an empty list while none is known.
using host_list_snapshot = std::function<std::vector<host_entry>()>;

/// Acquires racks of this host's data centre and records their ownership in
/// rows of the store.
///
/// All functions are thread-safe. `release_all` and `stop` must not be called
/// from a callback.
class ownership_service
{
public:
    /// All referenced objects have to outlive the service.
    ownership_service(ownership_options options, membership_service& members,
                      store_client& store, host_list_snapshot hosts,
                      rpc_client& client, ownership_callbacks callbacks);
    ~ownership_service();
    ownership_service(const ownership_service&) = delete;
    ownership_service& operator=(const ownership_service&) = delete;

    /// Starts acquiring racks.
    void start();

    /// Stops the service and reports every rack as lost, without notifying
    /// other hosts.
    void stop();

    /// Returns the racks that this host owns. Empty when no decision was made
    /// for longer than `resume_gap`.
    [[nodiscard]] std::vector<owned_rack> owned() const;

    /// Returns the owner of a rack from the digests of the members or its
    /// row. Blocks for one read of the store when neither is known.
    [[nodiscard]] std::optional<rack_owner> owner_of(const rack_id& rack) const;

    /// Offers every rack to its preferred successor and stops acquiring
    /// racks. Racks that no host has acquired by then are reported as lost.
    ///
    /// \param limit  longest time to wait for the successors
    /// \returns the number of racks that a successor acquired
    std::size_t release_all(milliseconds limit);

    /// Handles `release_rack`: a new owner requests the release, or an owner
    /// that is shutting down (`released` set) offers its rack to this host.
    [[nodiscard]] absl::StatusOr<rack_release>
    handle_release(const std::string& sender, const rack_release& message);

    /// Handles the rejection of a rack's token by a target: gives up the rack
    /// and rereads its row. May be called from a callback; `lost` is called
    /// later on another thread.
    ///
    /// \param seen_epoch  epoch that the target reported, or 0 if it reported
    ///                    none
    void on_stale_epoch(const rack_id& rack, std::int64_t seen_epoch = 0);

    /// Returns whether the last call to the store succeeded.
    [[nodiscard]] bool is_store_up() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace egretspindle

#endif
