/// \file
/// Description of a target, as listed by the platform.

#ifndef EGRETSPINDLE_FLEET_TARGET_ENTRY_HPP
#define EGRETSPINDLE_FLEET_TARGET_ENTRY_HPP

#include <cstdint>
#include <string>
#include <vector>

namespace egretspindle
{

/// Processors, memory and accelerators that a target has or a task needs.
struct task_size
{
    std::int64_t cpu_milli = 0; ///< thousandths of a core
    std::int64_t memory_mb = 0;
    std::int64_t accelerators = 0;
};

/// Returns whether `room` has enough processors, memory and accelerators for
/// `size`.
[[nodiscard]] inline bool fits(const task_size& size,
                               const task_size& room) noexcept
{
    return size.cpu_milli <= room.cpu_milli &&
           size.memory_mb <= room.memory_mb &&
           size.accelerators <= room.accelerators;
}

/// Adds the components of `size` to those of `sum`.
inline void add_to(task_size& sum, const task_size& size) noexcept
{
    sum.cpu_milli += size.cpu_milli;
    sum.memory_mb += size.memory_mb;
    sum.accelerators += size.accelerators;
}

/// Subtracts the components of `size` from those of `sum`, which may become
/// negative.
inline void subtract_from(task_size& sum, const task_size& size) noexcept
{
    sum.cpu_milli -= size.cpu_milli;
    sum.memory_mb -= size.memory_mb;
    sum.accelerators -= size.accelerators;
}

/// Target of the fleet.
struct target_entry
{
    std::string id;
    std::string service; ///< pool that the target belongs to
    std::string address; ///< `ip:port`
    std::string data_center;
    std::string rack; ///< unique within the fleet
    std::vector<std::string> labels;
    task_size capacity;
    bool is_draining = false; ///< gets no new tasks
    /// While draining: least time left in ms, as listed by the platform.
    std::int64_t remaining_ms = 0;
    std::int64_t started_ms = 0; ///< Unix time in ms when its process started
};

} // namespace egretspindle

#endif
