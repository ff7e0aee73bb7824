/// \file
/// IP address and port.

#ifndef EGRETSPINDLE_CORE_ENDPOINT_HPP
#define EGRETSPINDLE_CORE_ENDPOINT_HPP

#include <absl/status/statusor.h>

#include <string>
#include <string_view>

namespace egretspindle
{

/// Address and port that a server listens on.
struct endpoint
{
    std::string address;     ///< IPv4 address
    unsigned short port = 0; ///< TCP port
};

/// Parses `address:port`. Host names are not accepted.
///
/// \returns `invalid_argument` if the address is not an IPv4 address, or the
///          port not a number from 1 to 65535
[[nodiscard]] absl::StatusOr<endpoint> parse_endpoint(std::string_view text);

/// Formats an endpoint as `address:port`.
[[nodiscard]] std::string to_string(const endpoint& value);

} // namespace egretspindle

#endif
