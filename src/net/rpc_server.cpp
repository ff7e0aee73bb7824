#include "egretspindle/net/rpc_server.hpp"

#include "egretspindle/core/error.hpp"
#include "egretspindle/net/message_auth.hpp"

#include <cxxtools/eventloop.h>
#include <cxxtools/http/server.h>
#include <cxxtools/json/httpservice.h>
#include <cxxtools/remoteexception.h>
#include <cxxtools/utf8codec.h>
#include <fmt/format.h>

#include <thread>

namespace egretspindle
{

namespace
{

constexpr unsigned min_server_threads = 8;
// Bounds the calls in service; each may wait for a task to end.
constexpr unsigned max_server_threads = 512;

} // namespace

struct rpc_server::impl
{
    impl(std::string key, rpc_handler message_handler)
        : cluster_key(std::move(key)), handler(std::move(message_handler))
    {
    }

    cxxtools::String call(const cxxtools::String& type,
                          const cxxtools::String& sender,
                          const cxxtools::String& payload,
                          const cxxtools::String& mac)
    {
        const std::string type_text = cxxtools::Utf8Codec::encode(type);
        const std::string sender_text = cxxtools::Utf8Codec::encode(sender);
        const std::string payload_text = cxxtools::Utf8Codec::encode(payload);
        const std::string expected =
            message_mac(cluster_key, type_text, sender_text, payload_text);
        if (!constant_time_equal(expected, cxxtools::Utf8Codec::encode(mac)))
        {
            throw cxxtools::RemoteException(
                "message is not authentic; set the same cluster key on all "
                "hosts",
                static_cast<int>(error_kind::unauthorized));
        }
        const absl::StatusOr<std::string> reply =
            handler(type_text, sender_text, payload_text);
        if (!reply.ok())
        {
            throw cxxtools::RemoteException(
                std::string(reply.status().message()),
                static_cast<int>(kind_of(reply.status())));
        }
        return cxxtools::Utf8Codec::decode(*reply);
    }

    std::string cluster_key;
    rpc_handler handler;
    cxxtools::EventLoop loop;
    // cxxtools' JSON-RPC server over plain TCP crashes, or writes a reply to
    // another connection, when a connection is reset while its call is in
    // service; its HTTP server does not.
    cxxtools::json::HttpService service;
    std::unique_ptr<cxxtools::http::Server> server;
    std::thread thread;
};

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
        impl_->server = std::make_unique<cxxtools::http::Server>(impl_->loop,
                                                                 address, port);
        impl_->server->minThreads(min_server_threads);
        impl_->server->maxThreads(max_server_threads);
        impl_->service.registerMethod("call", *impl_, &impl::call);
        impl_->server->addService("/rpc", impl_->service);
    }
    catch (const std::exception& ex)
    {
        return make_error(error_kind::unavailable,
                          fmt::format("cannot listen on {}:{} ({}); choose a "
                                      "free address",
                                      address, port, ex.what()));
    }
    impl_->thread = std::thread([this] { impl_->loop.run(); });
    return absl::OkStatus();
}

void rpc_server::stop()
{
    if (impl_->thread.joinable())
    {
        impl_->loop.exit();
        impl_->thread.join();
    }
    impl_->server.reset();
}

} // namespace egretspindle
