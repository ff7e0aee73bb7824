/// \file
/// Message that the state machine wants to be sent.

#ifndef EGRETSPINDLE_MEMBERSHIP_PROBE_ACTION_HPP
#define EGRETSPINDLE_MEMBERSHIP_PROBE_ACTION_HPP

#include "egretspindle/core/clock.hpp"
#include "egretspindle/protocol/ping_message.hpp"

#include <cstdint>
#include <string>

namespace egretspindle
{

/// Why a message is sent.
enum class probe_kind
{
    direct,   ///< failure detection; a failure leads to indirect probes
    indirect, ///< asks the receiver to probe `message.target`
    exchange, ///< dissemination only; a failure has no consequence
};

/// A ping or ping request to send, and how long to wait for its reply.
struct probe_action
{
    probe_kind kind = probe_kind::direct;
    std::string receiver; ///< empty when only the address is known
    std::string address;
    ping_message message;
    milliseconds timeout{0};
    std::int64_t incarnation = 0; ///< of the probed member when sent
    std::uint64_t generation = 0; ///< of the state when sent
};

} // namespace egretspindle

#endif
