#include "egretspindle/fleet/target_entry.hpp"

#include <tuple>

namespace egretspindle
{

namespace
{

auto members_of(const target_entry& entry)
{
    return std::tie(entry.id, entry.service, entry.address, entry.data_center,
                    entry.rack, entry.labels, entry.capacity.cpu_milli,
                    entry.capacity.memory_mb, entry.capacity.accelerators,
                    entry.is_draining, entry.started_ms);
}

} // namespace

bool differs(const target_entry& lhs, const target_entry& rhs)
{
    return members_of(lhs) != members_of(rhs);
}

} // namespace egretspindle
