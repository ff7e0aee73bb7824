/// \file
/// HTTP response.

#ifndef EGRETSPINDLE_NET_HTTP_RESPONSE_HPP
#define EGRETSPINDLE_NET_HTTP_RESPONSE_HPP

#include <string>
#include <utility>
#include <vector>

namespace egretspindle
{

/// Status, headers and body of a response.
struct http_response
{
    int status = 200;
    std::string body;
    std::string content_type = "application/json";
    std::vector<std::pair<std::string, std::string>> headers;
};

} // namespace egretspindle

#endif
