#include "egretspindle/net/rpc_client.hpp"

#include "egretspindle/codec/json.hpp"
#include "egretspindle/core/error.hpp"
#include "egretspindle/net/message_auth.hpp"

#include "connection_pool.hpp"
#include "json_framer.hpp"
#include "rpc_error.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <vector>

namespace egretspindle
{

namespace
{

constexpr std::chrono::milliseconds max_connect_time{500};
constexpr std::size_t max_reply_bytes = 8 * 1024 * 1024;

/// JSON-RPC 2.0 request.
struct rpc_request
{
    std::string jsonrpc = "2.0";
    std::string method = "call";
    std::vector<std::string> params; ///< type, sender, payload, mac
    std::int64_t id = 1;
};

template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const rpc_request* /*tag*/)
{
    visit("jsonrpc", value.jsonrpc);
    visit("method", value.method);
    visit("params", value.params);
    visit("id", value.id);
}

/// JSON-RPC 2.0 response, with a result or an error.
struct rpc_response
{
    std::string result;
    rpc_error error;
};

template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const rpc_response* /*tag*/)
{
    visit("result", value.result);
    visit("error", value.error);
}

// Writes a request once and reads its response. The RPC client of cxxtools is
// not used, because it resends a request when the connection is closed, and the
// response to the second copy would hide the outcome of the first one.
std::string send_and_receive(cxxtools::net::TcpSocket& socket,
                             std::string_view request,
                             deadline_clock::time_point deadline)
{
    write_all(socket, request, deadline);
    json_framer framer(max_reply_bytes);
    std::string buf;
    while (framer.current() == json_framer::state::incomplete)
    {
        buf.clear();
        if (!read_some(socket, buf, deadline))
        {
            throw std::runtime_error("connection closed");
        }
        framer.add(buf);
    }
    if (framer.current() == json_framer::state::invalid)
    {
        throw std::runtime_error("the reply is no JSON object");
    }
    return framer.take();
}

// Removes the tag that identifies the reply to a message. Returns false if the
// text does not start with the tag.
bool remove_tag(std::string& text, const std::string& tag)
{
    if (text.compare(0, tag.size(), tag) != 0)
    {
        return false;
    }
    text.erase(0, tag.size());
    return true;
}

} // namespace

struct rpc_client::impl
{
    std::string cluster_key;
    std::string sender;
    std::atomic<std::uint64_t> byte_count{0};
    connection_pool connections;
};

rpc_client::rpc_client(std::string cluster_key, std::string sender)
    : impl_(std::make_unique<impl>())
{
    impl_->cluster_key = std::move(cluster_key);
    impl_->sender = std::move(sender);
}

rpc_client::~rpc_client() = default;

std::uint64_t rpc_client::byte_count() const noexcept
{
    return impl_->byte_count;
}

absl::StatusOr<std::string> rpc_client::call(const endpoint& server,
                                             std::string_view type,
                                             std::string_view payload,
                                             std::chrono::milliseconds timeout)
{
    const std::string server_address = to_string(server);
    const deadline_clock::time_point deadline = deadline_clock::now() + timeout;
    socket_ptr socket = impl_->connections.take(server_address);
    const bool is_reused = socket != nullptr;
    try
    {
        if (!is_reused)
        {
            socket =
                open_connection(server, std::min(timeout, max_connect_time));
        }
    }
    catch (const std::exception& ex)
    {
        return make_error(
            error_kind::unavailable,
            fmt::format("{}: {}; nothing was sent", server_address, ex.what()));
    }
    const std::string mac =
        message_mac(impl_->cluster_key, type, impl_->sender, payload);
    const std::string tag = reply_tag(mac);
    rpc_request request;
    request.params = {std::string(type), impl_->sender, std::string(payload),
                      mac};
    std::string failure;
    try
    {
        absl::StatusOr<rpc_response> response = from_json<rpc_response>(
            send_and_receive(*socket, to_json(request), deadline));
        if (!response.ok())
        {
            failure = std::string(response.status().message());
        }
        else if (remove_tag(response->result, tag))
        {
            impl_->byte_count += type.size() + impl_->sender.size() +
                                 payload.size() + mac.size() + tag.size() +
                                 response->result.size();
            impl_->connections.give_back(server_address, std::move(socket));
            return std::move(response->result);
        }
        else if (remove_tag(response->error.message, tag))
        {
            impl_->connections.give_back(server_address, std::move(socket));
            return make_error(static_cast<error_kind>(response->error.code),
                              response->error.message);
        }
        else
        {
            failure = response->error.message.empty()
                          ? "the reply belongs to another message"
                          : response->error.message;
        }
    }
    catch (const std::exception& ex)
    {
        failure = ex.what();
    }
    // The connection is closed, since a late reply to this message may still
    // arrive on it.
    if (is_reused)
    {
        // The other idle connections may have been lost in the same way.
        impl_->connections.close_idle(server_address);
    }
    return make_error(error_kind::deadline_exceeded,
                      fmt::format("{}: no answer to {} ({}); it may have taken "
                                  "effect",
                                  server_address, type, failure));
}

} // namespace egretspindle
