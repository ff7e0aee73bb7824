#include "egretspindle/net/rpc_client.hpp"

#include "egretspindle/core/error.hpp"
#include "egretspindle/net/message_auth.hpp"

#include <cxxtools/json/httpclient.h>
#include <cxxtools/remoteexception.h>
#include <cxxtools/remoteprocedure.h>
#include <cxxtools/utf8codec.h>
#include <fmt/format.h>

#include <atomic>
#include <map>
#include <mutex>
#include <vector>

namespace egretspindle
{

namespace
{

constexpr std::size_t max_idle_connections = 64;
constexpr std::chrono::milliseconds max_connect_time{500};

using client_ptr = std::unique_ptr<cxxtools::json::HttpClient>;
using call_procedure =
    cxxtools::RemoteProcedure<cxxtools::String, cxxtools::String,
                              cxxtools::String, cxxtools::String,
                              cxxtools::String>;

cxxtools::Milliseconds to_cxxtools(std::chrono::milliseconds value)
{
    return cxxtools::Milliseconds(static_cast<double>(value.count()));
}

// The procedure object refers to the client until its destructor, so it has to
// end before the client goes back to the pool or is destroyed.
cxxtools::String call_remote(cxxtools::json::HttpClient& client,
                             std::string_view type, const std::string& sender,
                             std::string_view payload, const std::string& mac)
{
    call_procedure procedure(client, "call");
    return procedure(cxxtools::Utf8Codec::decode(std::string(type)),
                     cxxtools::Utf8Codec::decode(sender),
                     cxxtools::Utf8Codec::decode(std::string(payload)),
                     cxxtools::Utf8Codec::decode(mac));
}

} // namespace

struct rpc_client::impl
{
    client_ptr take(const std::string& server)
    {
        const std::lock_guard<std::mutex> lock(mutex);
        std::vector<client_ptr>& clients = idle[server];
        if (clients.empty())
        {
            return nullptr;
        }
        client_ptr client = std::move(clients.back());
        clients.pop_back();
        return client;
    }

    void give_back(const std::string& server, client_ptr client)
    {
        const std::lock_guard<std::mutex> lock(mutex);
        std::vector<client_ptr>& clients = idle[server];
        if (clients.size() < max_idle_connections)
        {
            clients.push_back(std::move(client));
        }
    }

    std::string cluster_key;
    std::string sender;
    std::atomic<std::uint64_t> byte_count{0};
    std::mutex mutex;
    std::map<std::string, std::vector<client_ptr>> idle;
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
    const std::string server_text = to_string(server);
    client_ptr client = impl_->take(server_text);
    try
    {
        if (!client)
        {
            client = std::make_unique<cxxtools::json::HttpClient>(
                server.address, server.port, "/rpc");
            client->connectTimeout(
                to_cxxtools(std::min(timeout, max_connect_time)));
            client->connect();
        }
    }
    catch (const std::exception& ex)
    {
        return make_error(
            error_kind::unavailable,
            fmt::format("{}: {}; nothing was sent", server_text, ex.what()));
    }
    try
    {
        client->timeout(to_cxxtools(timeout));
        const std::string mac =
            message_mac(impl_->cluster_key, type, impl_->sender, payload);
        std::string text = cxxtools::Utf8Codec::encode(
            call_remote(*client, type, impl_->sender, payload, mac));
        impl_->byte_count += type.size() + impl_->sender.size() +
                             payload.size() + mac.size() + text.size();
        impl_->give_back(server_text, std::move(client));
        return text;
    }
    catch (const cxxtools::RemoteException& ex)
    {
        impl_->give_back(server_text, std::move(client));
        return make_error(static_cast<error_kind>(ex.rc()), ex.text());
    }
    catch (const std::exception& ex)
    {
        return make_error(error_kind::deadline_exceeded,
                          fmt::format("{}: no answer to {} ({}); it may have "
                                      "taken effect",
                                      server_text, type, ex.what()));
    }
}

} // namespace egretspindle
