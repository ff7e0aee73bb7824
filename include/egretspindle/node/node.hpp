/// \file
/// Entry host process.

#ifndef EGRETSPINDLE_NODE_NODE_HPP
#define EGRETSPINDLE_NODE_NODE_HPP

#include "egretspindle/settings/settings.hpp"

#include <absl/status/statusor.h>

#include <memory>

namespace egretspindle
{

/// Entry host: creates, connects and runs all services of the process.
class node
{
public:
    /// Creates the services without starting them.
    ///
    /// \returns `invalid_argument` when an address is not valid
    [[nodiscard]] static absl::StatusOr<std::unique_ptr<node>>
    create(const settings& config);

    ~node();
    node(const node&) = delete;
    node& operator=(const node&) = delete;

    /// Listens on all ports and joins the cluster.
    ///
    /// \returns `unavailable` when a port cannot be bound
    [[nodiscard]] absl::Status start();

    /// Shuts down gracefully: reports not ready, completes the requests in
    /// service, hands over the racks and writes the records of ended requests.
    void shutdown();

private:
    struct impl;
    explicit node(std::unique_ptr<impl> parts);

    std::unique_ptr<impl> impl_;
};

} // namespace egretspindle

#endif
