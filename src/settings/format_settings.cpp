#include "egretspindle/core/toml.hpp"
#include "egretspindle/settings/settings.hpp"

#include "number_fields.hpp"

#include <sstream>

namespace egretspindle
{

namespace
{

toml::table format_cluster(const cluster_settings& value)
{
    toml::array seeds;
    for (const std::string& seed : value.seeds)
    {
        seeds.push_back(seed);
    }
    toml::table addresses;
    for (const auto& [name, address] : value.addresses)
    {
        addresses.insert(name, address);
    }
    return toml::table{
        {"key", value.key}, {"seeds", seeds}, {"addresses", addresses}};
}

toml::array format_operators(const std::vector<operator_settings>& operators)
{
    toml::array result;
    for (const operator_settings& item : operators)
    {
        result.push_back(toml::table{
            {"name", item.name},
            {"team", item.team},
            {"role", item.role == operator_role::supervisor ? "supervisor"
                                                            : "operator"},
            {"token", item.token}});
    }
    return result;
}

} // namespace

std::string format_settings(const settings& value)
{
    toml::table limits;
    toml::table timing;
    const auto make_inserter = [](toml::table& table)
    {
        return [&table](const char* name, std::int64_t number,
                        std::int64_t /*lowest*/, std::int64_t /*highest*/)
        {
            table.insert(name, number);
        };
    };
    visit_limits(make_inserter(limits), value.limits);
    visit_timing(make_inserter(timing), value.timing);
    const toml::table document{
        {"host", toml::table{{"name", value.host.name},
                             {"data_center", value.host.data_center},
                             {"region", value.host.region}}},
        {"listen", toml::table{{"caller", value.listen.caller},
                               {"peer", value.listen.peer},
                               {"admin", value.listen.admin}}},
        {"advertise", toml::table{{"peer", value.advertise_peer}}},
        {"cluster", format_cluster(value.cluster)},
        {"platform", toml::table{{"store", value.platform.store},
                                 {"host_list", value.platform.host_list}}},
        {"limits", limits},
        {"timing", timing},
        {"operators", format_operators(value.operators)},
        {"log", toml::table{{"format", value.log.format},
                            {"level", value.log.level}}}};
    std::ostringstream out;
    out << document << '\n';
    return out.str();
}

} // namespace egretspindle
