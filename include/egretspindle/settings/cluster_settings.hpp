/// \file
/// How hosts find and trust each other.

#ifndef EGRETSPINDLE_SETTINGS_CLUSTER_SETTINGS_HPP
#define EGRETSPINDLE_SETTINGS_CLUSTER_SETTINGS_HPP

#include <map>
#include <string>
#include <vector>

namespace egretspindle
{

/// Shared key and first contacts.
struct cluster_settings
{
    std::string key;                ///< authenticates messages between hosts
    std::vector<std::string> seeds; ///< `ip:port` of some hosts
    /// Address to use for a member in place of the one it advertises, by
    /// member name; for address translation and fault injection.
    std::map<std::string, std::string> addresses;
};

} // namespace egretspindle

#endif
