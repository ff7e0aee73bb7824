/// \file
/// IP address and port.

#ifndef EGRETSPINDLE_NET_ENDPOINT_HPP
#define EGRETSPINDLE_NET_ENDPOINT_HPP

#include <absl/status/statusor.h>

#include <string>
#include <string_view>

namespace egretspindle
{

/// Address and port that a server listens on.
struct endpoint
{
    std::string address;     ///< IP address
    unsigned short port = 0; ///< TCP port
};

/// Parses `address:port`.
///
/// \returns `invalid_argument` when the text has another form
[[nodiscard]] absl::StatusOr<endpoint> parse_endpoint(std::string_view text);

/// Formats an endpoint as `address:port`.
[[nodiscard]] std::string to_string(const endpoint& value);

} // namespace egretspindle

#endif
