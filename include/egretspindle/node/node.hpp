/// \file
/// The egretspindle process.

#ifndef EGRETSPINDLE_NODE_NODE_HPP
#define EGRETSPINDLE_NODE_NODE_HPP

#include "egretspindle/settings/settings.hpp"

#include <absl/status/statusor.h>

#include <memory>

namespace egretspindle
{

/// All parts of a host, wired together.
class node
{
public:
    /// Builds the parts.
    ///
    /// \returns `invalid_argument` when an address is not usable
    [[nodiscard]] static absl::StatusOr<std::unique_ptr<node>>
    create(const settings& config);

    ~node();
    node(const node&) = delete;
    node& operator=(const node&) = delete;

    /// Listens on all ports and joins the cluster.
    ///
    /// \returns `unavailable` when a port cannot be bound
    [[nodiscard]] absl::Status start();

    /// Shuts down gracefully: not ready first, no request in service is cut
    /// off, racks are handed over, ended requests are recorded.
    void shutdown();

private:
    struct impl;
    explicit node(std::unique_ptr<impl> parts);

    std::unique_ptr<impl> impl_;
};

} // namespace egretspindle

#endif
