#include "link.hpp"

namespace egretspindle::standin
{

std::optional<proxy_link> parse_link(const std::string& text)
{
    const std::size_t equals = text.find('=');
    const std::size_t arrow = text.find("->", equals);
    if (equals == std::string::npos || arrow == std::string::npos)
    {
        return std::nullopt;
    }
    const absl::StatusOr<endpoint> listen =
        parse_endpoint(text.substr(equals + 1, arrow - equals - 1));
    const absl::StatusOr<endpoint> server =
        parse_endpoint(text.substr(arrow + 2));
    if (!listen.ok() || !server.ok())
    {
        return std::nullopt;
    }
    proxy_link result;
    result.name = text.substr(0, equals);
    result.listen = *listen;
    result.server = *server;
    return result;
}

} // namespace egretspindle::standin
