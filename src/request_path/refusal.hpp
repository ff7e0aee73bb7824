/// \file
/// Refusal of an attempt by its rack owner.

#ifndef EGRETSPINDLE_SRC_REQUEST_PATH_REFUSAL_HPP
#define EGRETSPINDLE_SRC_REQUEST_PATH_REFUSAL_HPP

#include "egretspindle/protocol/place_reply.hpp"

#include <cstdint>
#include <string_view>

namespace egretspindle
{

/// Default retry delay after a refusal, in ms.
inline constexpr std::int64_t refused_retry_ms = 500;

/// Makes the reply for an attempt that was not started.
[[nodiscard]] inline place_reply make_refusal(std::string_view reason,
                                              std::int64_t retry_after_ms)
{
    place_reply reply;
    reply.reason = reason;
    reply.retry_after_ms = retry_after_ms;
    return reply;
}

} // namespace egretspindle

#endif
