/// \file
/// Interface to the platform's host list.

#ifndef EGRETSPINDLE_ADAPTERS_HOST_LIST_CLIENT_HPP
#define EGRETSPINDLE_ADAPTERS_HOST_LIST_CLIENT_HPP

#include "egretspindle/adapters/host_entry.hpp"

#include <absl/status/statusor.h>

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace egretspindle
{

/// Client of the platform's list of live and leaving hosts. The list lags
/// behind. Usable from several threads.
class host_list_client
{
public:
    virtual ~host_list_client() = default;

    /// Returns all hosts.
    [[nodiscard]] virtual absl::StatusOr<std::vector<host_entry>> hosts() = 0;
};

/// Decodes a host list. Another program may write entries, so malformed ones,
/// and targets without a usable address, are left out.
[[nodiscard]] absl::StatusOr<std::vector<host_entry>>
decode_host_list(std::string_view text);

/// Creates an HTTP client of the host list at `address` (`ip:port`).
///
/// \returns `invalid_argument` when the address is not valid
[[nodiscard]] absl::StatusOr<std::unique_ptr<host_list_client>>
make_http_host_list_client(const std::string& address);

} // namespace egretspindle

#endif
