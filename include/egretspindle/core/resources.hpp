/// \file
/// Resource amounts: processor cores, memory and accelerators.

#ifndef EGRETSPINDLE_CORE_RESOURCES_HPP
#define EGRETSPINDLE_CORE_RESOURCES_HPP

namespace egretspindle
{

/// Amount of each resource of a target or a task.
struct resources
{
    double cpu_cores = 0; ///< processor cores
    double memory_mb = 0; ///< memory in MiB
    int accelerators = 0; ///< number of devices
};

/// Adds two amounts.
[[nodiscard]] constexpr resources operator+(const resources& lhs,
                                            const resources& rhs) noexcept
{
    return {lhs.cpu_cores + rhs.cpu_cores, lhs.memory_mb + rhs.memory_mb,
            lhs.accelerators + rhs.accelerators};
}

/// Subtracts two amounts.
[[nodiscard]] constexpr resources operator-(const resources& lhs,
                                            const resources& rhs) noexcept
{
    return {lhs.cpu_cores - rhs.cpu_cores, lhs.memory_mb - rhs.memory_mb,
            lhs.accelerators - rhs.accelerators};
}

/// Returns whether `need` fits into `free` in every dimension.
[[nodiscard]] constexpr bool fits(const resources& need,
                                  const resources& free) noexcept
{
    // Summed reservations have rounding errors of this order of magnitude.
    constexpr double tolerance = 1e-6;
    return need.cpu_cores <= free.cpu_cores + tolerance &&
           need.memory_mb <= free.memory_mb + tolerance &&
           need.accelerators <= free.accelerators;
}

/// Visits the fields of `resources` for the codec.
template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const resources* /*tag*/)
{
    visit("cpu_cores", value.cpu_cores);
    visit("memory_mb", value.memory_mb);
    visit("accelerators", value.accelerators);
}

} // namespace egretspindle

#endif
