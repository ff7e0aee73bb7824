/// \file
/// Addresses in the settings, each as `ip:port`.

#ifndef EGRETSPINDLE_SETTINGS_ENDPOINT_SETTINGS_HPP
#define EGRETSPINDLE_SETTINGS_ENDPOINT_SETTINGS_HPP

#include <string>

namespace egretspindle
{

/// Listening addresses of the process, as `ip:port`.
struct listen_settings
{
    std::string caller; ///< caller interface
    std::string peer;   ///< messages between hosts
    std::string admin;  ///< operators' interface
};

/// Addresses of the platform's services, as `ip:port`.
struct platform_settings
{
    std::string store;     ///< table and object store
    std::string host_list; ///< list of live and leaving hosts
};

} // namespace egretspindle

#endif
