/// \file
/// Dispatch of received messages to typed handlers.

#ifndef EGRETSPINDLE_PROTOCOL_MESSAGE_ROUTER_HPP
#define EGRETSPINDLE_PROTOCOL_MESSAGE_ROUTER_HPP

#include "egretspindle/codec/json.hpp"
#include "egretspindle/core/error.hpp"

#include <absl/status/statusor.h>

#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace egretspindle
{

/// Handlers by message type. All are registered before the server starts.
class message_router
{
public:
    /// Registers a handler with typed request and reply.
    ///
    /// \code
    /// router.on<key_query, request_reply>(message_type::wait,
    ///     [](const std::string& sender, const key_query& query)
    ///         -> absl::StatusOr<request_reply> { ... });
    /// \endcode
    template <typename Request, typename Reply, typename Handler>
    void on(std::string_view type, Handler handler)
    {
        handlers_[std::string(type)] =
            [handler = std::move(handler)](
                const std::string& sender,
                const std::string& payload) -> absl::StatusOr<std::string>
        {
            const absl::StatusOr<Request> request = from_json<Request>(payload);
            if (!request.ok())
            {
                return request.status();
            }
            const absl::StatusOr<Reply> reply = handler(sender, *request);
            if (!reply.ok())
            {
                return reply.status();
            }
            return to_json(*reply);
        };
    }

    /// Passes a received message to the handler of its type.
    ///
    /// \returns the encoded reply, or `invalid_argument` for an unknown type
    [[nodiscard]] absl::StatusOr<std::string>
    dispatch(const std::string& type, const std::string& sender,
             const std::string& payload) const
    {
        const auto it = handlers_.find(type);
        if (it == handlers_.end())
        {
            return make_error(error_kind::invalid_argument,
                              "unknown message type '" + type +
                                  "'; upgrade this host");
        }
        return it->second(sender, payload);
    }

private:
    std::map<std::string, std::function<absl::StatusOr<std::string>(
                              const std::string&, const std::string&)>>
        handlers_;
};

} // namespace egretspindle

#endif
