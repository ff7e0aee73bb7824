/// \file
/// HTTP interface of the store for one caller.

#ifndef EGRETSPINDLE_TOOLS_STANDIN_PLATFORM_STORE_API_HPP
#define EGRETSPINDLE_TOOLS_STANDIN_PLATFORM_STORE_API_HPP

#include "egretspindle/net/http_request.hpp"
#include "egretspindle/net/http_response.hpp"

#include "row_table.hpp"

#include <chrono>
#include <mutex>
#include <string>

namespace egretspindle::standin
{

/// Faults of the store for one caller. A call that gets no response keeps its
/// connection open.
struct store_faults
{
    /// - `pass`
    /// - `unavailable`, `overloaded`: 503 or 429, without effect
    /// - `slow`: each call takes `delay` longer
    /// - `silent`: no response and no effect
    /// - `lose_answers`: writes take effect and get no response
    /// - `late_writes`: as `lose_answers`, and writes take effect `delay` later
    std::string mode = "pass";
    std::chrono::milliseconds delay{0};
};

/// Answers the calls of one caller and applies its faults.
class store_api
{
public:
    explicit store_api(row_table& rows) : rows_(rows) {}

    [[nodiscard]] http_response handle(const http_request& request);

    void set_faults(const store_faults& faults);

private:
    [[nodiscard]] http_response commit(const http_request& request,
                                       const store_faults& faults);
    [[nodiscard]] http_response read(const http_request& request);
    [[nodiscard]] http_response follow(const http_request& request);

    row_table& rows_;
    std::mutex mutex_;
    store_faults faults_;
};

} // namespace egretspindle::standin

#endif
