/// \file
/// Construction of settings in tests and tools.

#ifndef EGRETSPINDLE_SETTINGS_SETTINGS_BUILDER_HPP
#define EGRETSPINDLE_SETTINGS_SETTINGS_BUILDER_HPP

#include "egretspindle/settings/settings.hpp"

#include <string>
#include <utility>

namespace egretspindle
{

/// Builder of settings. The defaults are valid and use ports of 127.0.0.1.
///
/// \code
/// settings value = make_settings().with_host("entry-1", "bentong-a").build();
/// \endcode
class settings_builder
{
public:
    settings_builder()
    {
        value_.host = {"entry-1", "dc-1", "region-1"};
        value_.listen = {"127.0.0.1:8080", "127.0.0.1:8081", "127.0.0.1:8082"};
        value_.cluster.key = "cluster-key-for-tests-only";
        value_.platform = {"127.0.0.1:9001", "127.0.0.1:9002"};
    }

    settings_builder& with_host(std::string name, std::string data_center,
                                std::string region = "region-1")
    {
        value_.host = {std::move(name), std::move(data_center),
                       std::move(region)};
        return *this;
    }

    settings_builder& with_listen(std::string caller, std::string peer,
                                  std::string admin)
    {
        value_.listen = {std::move(caller), std::move(peer), std::move(admin)};
        return *this;
    }

    settings_builder& with_advertised_peer(std::string address)
    {
        value_.advertise_peer = std::move(address);
        return *this;
    }

    settings_builder& with_cluster_key(std::string key)
    {
        value_.cluster.key = std::move(key);
        return *this;
    }

    settings_builder& with_seed(std::string address)
    {
        value_.cluster.seeds.push_back(std::move(address));
        return *this;
    }

    settings_builder& with_member_address(const std::string& member,
                                          std::string address)
    {
        value_.cluster.addresses[member] = std::move(address);
        return *this;
    }

    settings_builder& with_platform(std::string store, std::string host_list)
    {
        value_.platform = {std::move(store), std::move(host_list)};
        return *this;
    }

    settings_builder& with_operator(std::string name, std::string team,
                                    operator_role role, std::string token)
    {
        value_.operators.push_back(
            {std::move(name), std::move(team), role, std::move(token)});
        return *this;
    }

    settings_builder& with_limits(const limit_settings& limits)
    {
        value_.limits = limits;
        return *this;
    }

    settings_builder& with_timing(const timing_settings& timing)
    {
        value_.timing = timing;
        return *this;
    }

    settings_builder& with_log(std::string format, std::string level)
    {
        value_.log = {std::move(format), std::move(level)};
        return *this;
    }

    [[nodiscard]] settings build() const
    {
        settings result = value_;
        if (result.advertise_peer.empty())
        {
            result.advertise_peer = result.listen.peer;
        }
        return result;
    }

private:
    settings value_;
};

/// Returns a builder with the defaults.
[[nodiscard]] inline settings_builder make_settings()
{
    return {};
}

} // namespace egretspindle

#endif
