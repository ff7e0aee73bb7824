/// \file
/// Cluster key and addresses of members.

#ifndef EGRETSPINDLE_SETTINGS_CLUSTER_SETTINGS_HPP
#define EGRETSPINDLE_SETTINGS_CLUSTER_SETTINGS_HPP

#include <map>
#include <string>
#include <vector>

namespace egretspindle
{

/// Cluster key, and addresses of other members.
struct cluster_settings
{
    std::string key;                ///< authenticates messages between hosts
    std::vector<std::string> seeds; ///< `ip:port` of members to join through
    /// Addresses that replace the advertised ones, by member name; for address
    /// translation and fault injection.
    std::map<std::string, std::string> addresses;
};

} // namespace egretspindle

#endif
