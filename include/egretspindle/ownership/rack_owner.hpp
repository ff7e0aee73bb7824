/// \file
/// Owner of a rack as another host knows it.

#ifndef EGRETSPINDLE_OWNERSHIP_RACK_OWNER_HPP
#define EGRETSPINDLE_OWNERSHIP_RACK_OWNER_HPP

#include <cstdint>
#include <string>

namespace egretspindle
{

/// Name and epoch of an owner.
struct rack_owner
{
    std::string host;
    std::int64_t epoch = 0;
};

} // namespace egretspindle

#endif
