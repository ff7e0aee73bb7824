#include "egretspindle/cluster/call_gate.hpp"

#include <chrono>

namespace egretspindle
{

call_gate::call_gate(const stop_limits& limits) : limits_(limits) {}

std::optional<milliseconds> call_gate::admit(boot_time_point now)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    if (!stop_begun_)
    {
        return longest_call(limits_);
    }
    std::optional<milliseconds> time;
    if (!is_closed_)
    {
        time = time_for_call(
            std::chrono::duration_cast<milliseconds>(now - *stop_begun_),
            limits_);
    }
    refused_ += time ? 0 : 1;
    return time;
}

void call_gate::begin_stop(boot_time_point at)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    stop_begun_ = at;
}

void call_gate::set_closed(bool is_closed)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    is_closed_ = is_closed;
}

bool call_gate::is_stopping() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return stop_begun_.has_value();
}

std::uint64_t call_gate::refused() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return refused_;
}

} // namespace egretspindle
