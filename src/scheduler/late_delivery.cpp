#include "late_delivery.hpp"

#include "egretspindle/logging/log.hpp"

namespace egretspindle
{

namespace
{

// Urgent tasks take a second.
constexpr milliseconds late_delivery{1'000};

} // namespace

void log_late_delivery(std::string_view text, const std::string& host,
                       std::size_t items, const std::string& first,
                       milliseconds waited)
{
    if (waited >= late_delivery)
    {
        log_info(text, {{"host", host},
                        {"items", items},
                        {"first", first},
                        {"waited_ms", waited.count()}});
    }
}

} // namespace egretspindle
