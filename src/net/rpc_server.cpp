#include "egretspindle/net/rpc_server.hpp"

#include "egretspindle/codec/json.hpp"
#include "egretspindle/core/error.hpp"
#include "egretspindle/logging/log.hpp"
#include "egretspindle/net/message_auth.hpp"

#include "json_framer.hpp"
#include "keepalive.hpp"
#include "rpc_error.hpp"

#include <cxxtools/net/tcpserver.h>
#include <cxxtools/net/tcpsocket.h>
#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <list>
#include <mutex>
#include <sys/socket.h>
#include <thread>
#include <vector>

namespace egretspindle
{

namespace
{

// Limits the number of threads: each connection has one, which may wait for a
// task to end.
constexpr std::size_t max_connections = 1024;
constexpr int listen_backlog = 256;
// Idle connections are closed after this time, since a client keeps more of
// them after a burst than it needs.
constexpr double idle_timeout_ms = 120'000;
// A message contains a request body of at most 1 MiB, which is escaped twice.
constexpr std::size_t max_message_bytes = 8 * 1024 * 1024;

/// JSON-RPC 2.0 request for the method `call`.
struct rpc_request
{
    std::string method;
    std::vector<std::string> params; ///< type, sender, payload, mac
    std::int64_t id = 0;
};

template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const rpc_request* /*tag*/)
{
    visit("method", value.method);
    visit("params", value.params);
    visit("id", value.id);
}

/// Successful JSON-RPC 2.0 response.
struct rpc_result_response
{
    std::string jsonrpc = "2.0";
    std::string result;
    std::int64_t id = 0;
};

template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value,
                  const rpc_result_response* /*tag*/)
{
    visit("jsonrpc", value.jsonrpc);
    visit("result", value.result);
    visit("id", value.id);
}

/// Failed JSON-RPC 2.0 response.
struct rpc_error_response
{
    std::string jsonrpc = "2.0";
    rpc_error error;
    std::int64_t id = 0;
};

template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value,
                  const rpc_error_response* /*tag*/)
{
    visit("jsonrpc", value.jsonrpc);
    visit("error", value.error);
    visit("id", value.id);
}

std::string format_error(const absl::Status& status, std::string_view tag,
                         std::int64_t id)
{
    rpc_error_response response;
    response.error.code = static_cast<int>(kind_of(status));
    response.error.message =
        fmt::format("{}{}", tag, std::string(status.message()));
    response.id = id;
    return to_json(response);
}

/// Connection with the thread that serves it.
struct connection
{
    cxxtools::net::TcpSocket socket;
    std::thread thread;
    std::atomic<bool> is_finished{false};
};

} // namespace

// The RPC server of cxxtools is not used, because it crashed under load: its
// event loop iterates over the list of idle connections while worker threads
// remove theirs. Here each connection is read by one blocking thread, and no
// event loop watches it.
struct rpc_server::impl
{
    impl(std::string key, rpc_handler message_handler)
        : cluster_key(std::move(key)), handler(std::move(message_handler))
    {
    }

    void accept_loop();
    void join_finished();
    void serve(connection& client);
    std::string handle_message(const std::string& text) const;
    absl::StatusOr<std::string> call_handler(const std::string& type,
                                             const std::string& sender,
                                             const std::string& payload) const;

    std::string cluster_key;
    rpc_handler handler;
    cxxtools::net::TcpServer listener;
    std::atomic<bool> is_stopping{false};
    std::mutex mutex;
    std::list<connection> connections;
    std::thread thread;
};

void rpc_server::impl::accept_loop()
{
    while (!is_stopping)
    {
        std::list<connection> accepted;
        accepted.emplace_back();
        connection& next = accepted.back();
        try
        {
            next.socket.accept(listener);
            enable_keepalive(next.socket);
        }
        catch (const cxxtools::net::AcceptTerminated&)
        {
            return;
        }
        catch (const std::exception& ex)
        {
            log_warning("cannot accept a connection from another host",
                        {{"error", ex.what()}});
            continue;
        }
        join_finished();
        const std::lock_guard<std::mutex> lock(mutex);
        if (connections.size() >= max_connections)
        {
            log_warning("too many connections from other hosts",
                        {{"limit", max_connections}});
            continue;
        }
        connections.splice(connections.end(), accepted);
        next.thread = std::thread([this, &next] { serve(next); });
    }
}

// Joins the threads of closed connections.
void rpc_server::impl::join_finished()
{
    std::list<connection> finished;
    {
        const std::lock_guard<std::mutex> lock(mutex);
        for (auto it = connections.begin(); it != connections.end();)
        {
            const auto next = std::next(it);
            if (it->is_finished)
            {
                finished.splice(finished.end(), connections, it);
            }
            it = next;
        }
    }
    for (connection& item : finished)
    {
        item.thread.join();
    }
}

void rpc_server::impl::serve(connection& client)
{
    try
    {
        client.socket.setTimeout(cxxtools::Milliseconds(idle_timeout_ms));
        json_framer framer(max_message_bytes);
        char buf[16 * 1024];
        while (!is_stopping)
        {
            const std::size_t n = client.socket.read(buf, sizeof buf);
            std::string_view bytes(buf, n);
            if (bytes.empty())
            {
                break;
            }
            while (!bytes.empty())
            {
                bytes.remove_prefix(framer.add(bytes));
                if (framer.current() == json_framer::state::invalid)
                {
                    ::shutdown(client.socket.getFd(), SHUT_RDWR);
                    client.is_finished = true;
                    return;
                }
                if (framer.current() == json_framer::state::complete)
                {
                    const std::string reply = handle_message(framer.take());
                    std::size_t sent = 0;
                    while (sent < reply.size())
                    {
                        sent += client.socket.write(reply.data() + sent,
                                                    reply.size() - sent);
                    }
                }
            }
        }
    }
    catch (const std::exception&)
    {
        // The peer has disconnected or was idle for too long. It reconnects
        // when it has a message to send.
    }
    ::shutdown(client.socket.getFd(), SHUT_RDWR);
    client.is_finished = true;
}

// The sender gets an answer if the handler throws: without one, it would assume
// that the message may take effect later.
absl::StatusOr<std::string>
rpc_server::impl::call_handler(const std::string& type,
                               const std::string& sender,
                               const std::string& payload) const
{
    try
    {
        return handler(type, sender, payload);
    }
    catch (const std::exception& ex)
    {
        log_error("message from another host failed",
                  {{"type", type}, {"sender", sender}, {"error", ex.what()}});
        return make_error(error_kind::internal,
                          "the message failed; see the log of the receiver");
    }
}

std::string rpc_server::impl::handle_message(const std::string& text) const
{
    const absl::StatusOr<rpc_request> request = from_json<rpc_request>(text);
    if (!request.ok())
    {
        return format_error(request.status(), "", 0);
    }
    if (request->method != "call" || request->params.size() != 4)
    {
        return format_error(make_error(error_kind::invalid_argument,
                                       "unknown method; upgrade this host"),
                            "", request->id);
    }
    const std::string& type = request->params[0];
    const std::string& sender = request->params[1];
    const std::string& payload = request->params[2];
    const std::string& mac = request->params[3];
    const std::string tag = reply_tag(mac);
    if (!constant_time_equal(message_mac(cluster_key, type, sender, payload),
                             mac))
    {
        return format_error(make_error(error_kind::unauthorized,
                                       "message is not authentic; set the same "
                                       "cluster key on all hosts"),
                            tag, request->id);
    }
    const absl::StatusOr<std::string> reply =
        call_handler(type, sender, payload);
    if (!reply.ok())
    {
        return format_error(reply.status(), tag, request->id);
    }
    rpc_result_response response;
    response.result = tag + *reply;
    response.id = request->id;
    return to_json(response);
}

rpc_server::rpc_server(std::string cluster_key, rpc_handler handler)
    : impl_(std::make_unique<impl>(std::move(cluster_key), std::move(handler)))
{
}

rpc_server::~rpc_server()
{
    stop();
}

absl::Status rpc_server::start(const std::string& address, unsigned short port)
{
    try
    {
        impl_->listener.listen(address, port, listen_backlog);
    }
    catch (const std::exception& ex)
    {
        return make_error(error_kind::unavailable,
                          fmt::format("cannot listen on {}:{} ({}); choose a "
                                      "free address",
                                      address, port, ex.what()));
    }
    impl_->thread = std::thread([this] { impl_->accept_loop(); });
    return absl::OkStatus();
}

void rpc_server::stop()
{
    if (!impl_->thread.joinable())
    {
        return;
    }
    impl_->is_stopping = true;
    impl_->listener.terminateAccept();
    impl_->thread.join();
    {
        const std::lock_guard<std::mutex> lock(impl_->mutex);
        for (connection& item : impl_->connections)
        {
            if (!item.is_finished)
            {
                // Wakes up a thread that is reading. A reply in progress is
                // still sent.
                ::shutdown(item.socket.getFd(), SHUT_RD);
            }
        }
    }
    for (connection& item : impl_->connections)
    {
        item.thread.join();
    }
    impl_->connections.clear();
    impl_->listener.close();
}

} // namespace egretspindle
