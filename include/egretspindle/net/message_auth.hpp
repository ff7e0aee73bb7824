/// \file
/// Authentication of messages between hosts.

#ifndef EGRETSPINDLE_NET_MESSAGE_AUTH_HPP
#define EGRETSPINDLE_NET_MESSAGE_AUTH_HPP

#include <string>
#include <string_view>

namespace egretspindle
{

/// Returns the HMAC-SHA256 of a message in hexadecimal digits.
[[nodiscard]] std::string message_mac(std::string_view key,
                                      std::string_view type,
                                      std::string_view sender,
                                      std::string_view payload);

/// Compares two secrets in time that depends only on their lengths.
[[nodiscard]] bool constant_time_equal(std::string_view lhs,
                                       std::string_view rhs) noexcept;

/// Returns the prefix of a message's MAC with which its reply starts, so that a
/// client can recognise the reply to its message.
[[nodiscard]] inline std::string reply_tag(std::string_view mac)
{
    constexpr std::size_t tag_length = 16;
    return std::string(mac.substr(0, tag_length));
}

} // namespace egretspindle

#endif
