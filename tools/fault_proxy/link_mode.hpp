/// \file
/// Faults of a link.

#ifndef EGRETSPINDLE_TOOLS_FAULT_PROXY_LINK_MODE_HPP
#define EGRETSPINDLE_TOOLS_FAULT_PROXY_LINK_MODE_HPP

#include <optional>
#include <string_view>

namespace egretspindle::standin
{

/// Treatment of all connections of a link, open ones included.
///
/// Held bytes are neither read nor lost: they arrive after the fault, as
/// retransmitted segments do after a partition.
enum class link_mode
{
    pass,
    delay,        ///< each byte arrives `delay_ms` later, in both directions
    drop,         ///< holds both directions
    reset,        ///< resets open and new connections
    cut_requests, ///< holds the direction to the server
    cut_replies,  ///< holds the direction to the client
    /// Resets a connection when the first byte of a reply arrives, so the
    /// server has handled the request.
    cut_reply_after_request,
};

/// Returns the wire name of a mode, for example `cut_replies`.
[[nodiscard]] std::string_view to_string(link_mode mode) noexcept;

/// Returns the mode with the given wire name.
[[nodiscard]] std::optional<link_mode>
parse_link_mode(std::string_view name) noexcept;

/// Returns whether the direction to the server is held.
[[nodiscard]] constexpr bool holds_requests(link_mode mode) noexcept
{
    return mode == link_mode::drop || mode == link_mode::cut_requests;
}

/// Returns whether the direction to the client is held.
[[nodiscard]] constexpr bool holds_replies(link_mode mode) noexcept
{
    return mode == link_mode::drop || mode == link_mode::cut_replies;
}

} // namespace egretspindle::standin

#endif
