/// \file
/// Interface of the store towards one caller.

#ifndef EGRETSPINDLE_TOOLS_STANDIN_PLATFORM_STORE_API_HPP
#define EGRETSPINDLE_TOOLS_STANDIN_PLATFORM_STORE_API_HPP

#include "egretspindle/net/http_request.hpp"
#include "egretspindle/net/http_response.hpp"

#include "row_table.hpp"
#include "store_faults.hpp"

#include <mutex>

namespace egretspindle::standin
{

/// Answers the calls of one caller, with its faults.
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
    [[nodiscard]] http_response parts(const http_request& request);

    row_table& rows_;
    std::mutex mutex_;
    store_faults faults_;
};

} // namespace egretspindle::standin

#endif
