/// \file
/// Addresses in the settings, each as `ip:port`.

#ifndef EGRETSPINDLE_SETTINGS_ENDPOINT_SETTINGS_HPP
#define EGRETSPINDLE_SETTINGS_ENDPOINT_SETTINGS_HPP

#include <string>

namespace egretspindle
{

/// Where the process listens.
struct listen_settings
{
    std::string caller; ///< caller interface
    std::string peer;   ///< messages between hosts
    std::string admin;  ///< operators' interface
};

/// Services of the platform.
struct platform_settings
{
    std::string store;     ///< table and object store
    std::string host_list; ///< list of live and leaving hosts
};

} // namespace egretspindle

#endif
