/// \file
/// HTTP interface of a simulated target.

#ifndef EGRETSPINDLE_TOOLS_STANDIN_PLATFORM_SIMULATED_TARGET_API_HPP
#define EGRETSPINDLE_TOOLS_STANDIN_PLATFORM_SIMULATED_TARGET_API_HPP

#include "egretspindle/net/http_request.hpp"
#include "egretspindle/net/http_response.hpp"

#include "simulated_target.hpp"

#include <mutex>
#include <random>

namespace egretspindle::standin
{

/// Decodes orders and executes them on a target.
class simulated_target_api
{
public:
    explicit simulated_target_api(simulated_target& target)
        : target_(target), random_(target.options().seed + 1)
    {
    }

    [[nodiscard]] http_response handle(const http_request& request);

private:
    [[nodiscard]] http_response execute(const std::string& path,
                                        const target_order& order);
    [[nodiscard]] std::chrono::milliseconds choose_delay();

    simulated_target& target_;
    std::mutex mutex_;
    std::mt19937 random_;
};

} // namespace egretspindle::standin

#endif
