#include "disruptions.hpp"

#include <algorithm>
#include <string_view>

namespace egretspindle::bench
{

namespace
{

constexpr std::int64_t contact_ms = 3'000;

bool starts_with(std::string_view text, std::string_view prefix)
{
    return text.substr(0, prefix.size()) == prefix;
}

// Faults of single targets are left out: no request about a job waits for a
// target.
bool affects_answers(const fault_window& fault, const std::string& host)
{
    const bool is_host =
        fault.component == "hosts" || starts_with(fault.component, "h");
    return is_host || fault.component == "front-" + host ||
           starts_with(fault.component, "store") ||
           fault.component == "targets";
}

} // namespace

bool is_disrupted(const soak_record& record, const std::string& host,
                  std::int64_t from_ms, std::int64_t until_ms)
{
    return std::any_of(record.faults.begin(), record.faults.end(),
                       [&](const fault_window& fault)
                       {
                           return fault.kind == fault_kind::unplanned &&
                                  affects_answers(fault, host) &&
                                  fault.started_ms <= until_ms &&
                                  fault.ended_ms + contact_ms >= from_ms;
                       });
}

} // namespace egretspindle::bench
