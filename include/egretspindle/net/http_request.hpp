/// \file
/// HTTP request as seen by a handler.

#ifndef EGRETSPINDLE_NET_HTTP_REQUEST_HPP
#define EGRETSPINDLE_NET_HTTP_REQUEST_HPP

#include <map>
#include <string>

namespace egretspindle
{

/// A received HTTP request with its complete body.
struct http_request
{
    std::string method;                         ///< `GET`, `POST`, ...
    std::string path;                           ///< without the query
    std::map<std::string, std::string> query;   ///< decoded parameters
    std::string content_type;                   ///< empty when absent
    std::string authorization;                  ///< empty when absent
    std::string body;                           ///< within the size limit
    std::map<std::string, std::string> headers; ///< by name in lower case
};

} // namespace egretspindle

#endif
