/// \file
/// HTTP calls of tests.

#ifndef EGRETSPINDLE_TESTS_SUPPORT_JSON_HTTP_HPP
#define EGRETSPINDLE_TESTS_SUPPORT_JSON_HTTP_HPP

#include "egretspindle/net/http_response.hpp"

#include <absl/status/statusor.h>

#include <chrono>
#include <string>

namespace egretspindle::test
{

/// Sends a request on a connection of its own.
///
/// \param address  `ip:port`
[[nodiscard]] absl::StatusOr<http_response>
send_http(const std::string& address, const std::string& method,
          const std::string& path, const std::string& body = "",
          std::chrono::milliseconds timeout = std::chrono::seconds(5));

/// Posts to the control interface of a stand-in; throws when it refuses.
std::string post_control(const std::string& address, const std::string& body);

} // namespace egretspindle::test

#endif
