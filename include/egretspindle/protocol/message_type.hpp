/// \file
/// Types of the messages between hosts.

#ifndef EGRETSPINDLE_PROTOCOL_MESSAGE_TYPE_HPP
#define EGRETSPINDLE_PROTOCOL_MESSAGE_TYPE_HPP

#include <string_view>

/// Types of the messages between hosts, as sent.
namespace egretspindle::message_type
{

inline constexpr std::string_view ping = "ping";
inline constexpr std::string_view ping_request = "ping_request";
inline constexpr std::string_view submit = "submit";
inline constexpr std::string_view wait = "wait";
inline constexpr std::string_view cancel = "cancel";
inline constexpr std::string_view find = "find";
inline constexpr std::string_view place = "place";
inline constexpr std::string_view task_state = "task_state";
inline constexpr std::string_view task_stop = "task_stop";
inline constexpr std::string_view task_ack = "task_ack";
inline constexpr std::string_view task_ended = "task_ended";
inline constexpr std::string_view release_rack = "release_rack";
inline constexpr std::string_view get_plan = "get_plan";
inline constexpr std::string_view host_status = "host_status";

} // namespace egretspindle::message_type

#endif
