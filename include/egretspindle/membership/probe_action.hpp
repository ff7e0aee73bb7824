/// \file
/// Message that the failure detector requests to be sent.

#ifndef EGRETSPINDLE_MEMBERSHIP_PROBE_ACTION_HPP
#define EGRETSPINDLE_MEMBERSHIP_PROBE_ACTION_HPP

#include "egretspindle/core/clock.hpp"
#include "egretspindle/protocol/ping_message.hpp"

#include <cstdint>
#include <string>

namespace egretspindle
{

/// Purpose of a message.
enum class probe_kind
{
    direct,   ///< failure detection; a failure leads to indirect probes
    indirect, ///< requests the receiver to probe `message.target`
    exchange, ///< dissemination only; a failure is ignored
};

/// A ping or ping request to send, and how long to wait for its reply.
struct probe_action
{
    probe_kind kind = probe_kind::direct;
    std::string receiver; ///< member name; empty if only the address is known
    std::string address;
    ping_message message;
    milliseconds timeout{0};
    std::int64_t incarnation = 0; ///< of the receiver when sent
    std::uint64_t generation = 0; ///< `membership_state::generation` when sent
};

} // namespace egretspindle

#endif
