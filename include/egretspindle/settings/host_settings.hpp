/// \file
/// Identity of a host.

#ifndef EGRETSPINDLE_SETTINGS_HOST_SETTINGS_HPP
#define EGRETSPINDLE_SETTINGS_HOST_SETTINGS_HPP

#include <string>

namespace egretspindle
{

/// Name and location of the host that the process runs on.
struct host_settings
{
    std::string name; ///< unique in the cluster, as on the host list
    std::string data_center;
    std::string region;
};

} // namespace egretspindle

#endif
