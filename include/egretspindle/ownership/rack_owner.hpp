/// \file
/// Owner of a rack as known to other hosts.

#ifndef EGRETSPINDLE_OWNERSHIP_RACK_OWNER_HPP
#define EGRETSPINDLE_OWNERSHIP_RACK_OWNER_HPP

#include <cstdint>
#include <string>

namespace egretspindle
{

/// Host that owns a rack and the epoch of its ownership.
struct rack_owner
{
    std::string host;
    std::int64_t epoch = 0;
};

} // namespace egretspindle

#endif
