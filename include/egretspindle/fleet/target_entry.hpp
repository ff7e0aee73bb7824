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

/// Visits the fields of `target_entry` for the codec.
template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const target_entry* /*tag*/)
{
    visit("id", value.id);
    visit("service", value.service);
    visit("address", value.address);
    visit("data_center", value.data_center);
    visit("rack", value.rack);
    visit("labels", value.labels);
    visit("cpu_milli", value.capacity.cpu_milli);
    visit("memory_mb", value.capacity.memory_mb);
    visit("accelerators", value.capacity.accelerators);
    visit("draining", value.is_draining);
    visit("remaining_ms", value.remaining_ms);
    visit("started_ms", value.started_ms);
}

/// Returns whether two entries differ in anything but `remaining_ms`, which
/// decreases while a target drains.
[[nodiscard]] bool differs(const target_entry& lhs, const target_entry& rhs);

} // namespace egretspindle

#endif
