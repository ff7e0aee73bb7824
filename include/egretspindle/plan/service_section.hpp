/// \file
/// Section of an urgent kind in the plan document.

#ifndef EGRETSPINDLE_PLAN_SERVICE_SECTION_HPP
#define EGRETSPINDLE_PLAN_SERVICE_SECTION_HPP

#include <cstdint>
#include <string>

namespace egretspindle
{

/// Section `service.KIND`: limits of one kind of urgent work. A limit of 0
/// means no limit.
struct service_section
{
    std::string team;                  ///< owner of the section
    std::int64_t deadline_ms = 5900;   ///< if the request has none
    std::int64_t max_running = 0;      ///< concurrent attempts per data centre
    double max_cpu_cores = 0;          ///< of one request
    double max_memory_mb = 0;          ///< of one request
    std::int64_t max_accelerators = 0; ///< of one request
};

} // namespace egretspindle

#endif
