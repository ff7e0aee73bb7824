/// \file
/// Admission of calls while a host stops.

#ifndef EGRETSPINDLE_CLUSTER_CALL_GATE_HPP
#define EGRETSPINDLE_CLUSTER_CALL_GATE_HPP

#include "egretspindle/cluster/planned_stop.hpp"
#include "egretspindle/core/boot_clock.hpp"

#include <cstdint>
#include <mutex>
#include <optional>

namespace egretspindle
{

/// Limits the time of calls such that all have ended when the host ends, and
/// refuses those for which too little time is left. Thread-safe.
class call_gate
{
public:
    explicit call_gate(const stop_limits& limits);

    /// Returns the longest time of a call that begins now, or nothing if it has
    /// to be refused.
    [[nodiscard]] std::optional<milliseconds>
    admit(boot_time_point now = boot_clock::now());

    /// Limits calls from now on by the time that is left for the stop.
    void begin_stop(boot_time_point at);

    /// Refuses all calls from now on, or admits them again during the stop.
    void set_closed(bool is_closed);

    [[nodiscard]] bool is_stopping() const;

    /// Returns how many calls were refused.
    [[nodiscard]] std::uint64_t refused() const;

private:
    const stop_limits limits_;
    mutable std::mutex mutex_;
    std::optional<boot_time_point> stop_begun_;
    bool is_closed_ = false;
    std::uint64_t refused_ = 0;
};

} // namespace egretspindle

#endif
