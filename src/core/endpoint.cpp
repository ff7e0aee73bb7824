#include "egretspindle/core/endpoint.hpp"

#include "egretspindle/core/error.hpp"

#include <fmt/format.h>

#include <arpa/inet.h>
#include <charconv>

namespace egretspindle
{

namespace
{

// Longest part of a malformed text that is repeated in the error.
constexpr std::size_t max_quoted_size = 64;

bool is_ipv4_address(std::string_view text)
{
    in_addr address{};
    return text.find('\0') == std::string_view::npos &&
           ::inet_pton(AF_INET, std::string(text).c_str(), &address) == 1;
}

} // namespace

absl::StatusOr<endpoint> parse_endpoint(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    unsigned port = 0;
    if (colon != std::string_view::npos &&
        is_ipv4_address(text.substr(0, colon)))
    {
        const char* first = text.data() + colon + 1;
        const char* last = text.data() + text.size();
        const auto [end, ec] = std::from_chars(first, last, port);
        if (ec == std::errc() && end == last && port > 0 && port < 65536)
        {
            return endpoint{std::string(text.substr(0, colon)),
                            static_cast<unsigned short>(port)};
        }
    }
    return make_error(
        error_kind::invalid_argument,
        fmt::format("'{}' is not an endpoint; write it as 127.0.0.1:8080",
                    text.substr(0, max_quoted_size)));
}

std::string to_string(const endpoint& value)
{
    return fmt::format("{}:{}", value.address, value.port);
}

} // namespace egretspindle
