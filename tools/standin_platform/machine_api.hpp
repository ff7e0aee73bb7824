/// \file
/// HTTP interface of a simulated target.

#ifndef EGRETSPINDLE_TOOLS_STANDIN_PLATFORM_MACHINE_API_HPP
#define EGRETSPINDLE_TOOLS_STANDIN_PLATFORM_MACHINE_API_HPP

#include "egretspindle/net/http_request.hpp"
#include "egretspindle/net/http_response.hpp"

#include "machine.hpp"

#include <mutex>
#include <random>

namespace egretspindle::standin
{

/// Decodes orders and executes them on a target.
class machine_api
{
public:
    explicit machine_api(machine& unit)
        : machine_(unit), random_(unit.options().seed + 1)
    {
    }

    [[nodiscard]] http_response handle(const http_request& request);

private:
    [[nodiscard]] http_response execute(const std::string& path,
                                        const machine_order& order);
    [[nodiscard]] std::chrono::milliseconds choose_delay();

    machine& machine_;
    std::mutex mutex_;
    std::mt19937 random_;
};

} // namespace egretspindle::standin

#endif
