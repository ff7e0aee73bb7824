#include "egretspindle/adapters/caller_query.hpp"

#include "egretspindle/core/error.hpp"

#include "caller_fields.hpp"

#include <fmt/format.h>

#include <charconv>

namespace egretspindle
{

namespace
{

constexpr std::string_view prefix = "/v1/requests/";

absl::StatusOr<std::int64_t> read_wait(const http_request& request,
                                       const caller_limits& limits)
{
    for (const auto& [name, value] : request.query)
    {
        if (name != "wait_ms")
        {
            return make_error(error_kind::invalid_argument,
                              "unknown query parameter; remove all but "
                              "'wait_ms'");
        }
        std::int64_t wait_ms = 0;
        const char* last = value.data() + value.size();
        const auto [end, ec] = std::from_chars(value.data(), last, wait_ms);
        if (ec != std::errc() || end != last || wait_ms < 0 ||
            wait_ms > limits.max_wait_ms)
        {
            return make_error(error_kind::invalid_argument,
                              fmt::format("'wait_ms' must be an integer from "
                                          "0 to {}",
                                          limits.max_wait_ms));
        }
        return wait_ms;
    }
    return 0;
}

} // namespace

absl::StatusOr<caller_query> parse_caller_query(const http_request& request,
                                                const caller_limits& limits)
{
    const std::string_view path = request.path;
    const std::size_t slash = path.find('/', prefix.size());
    if (path.substr(0, prefix.size()) != prefix ||
        slash == std::string_view::npos)
    {
        return make_error(error_kind::not_found,
                          "no such path; use /v1/requests/{team}/{id}");
    }
    caller_query query;
    query.team = path.substr(prefix.size(), slash - prefix.size());
    query.id = path.substr(slash + 1);
    absl::Status status = check_caller_name("team", query.team);
    if (status.ok())
    {
        status = check_caller_name("id", query.id);
    }
    if (!status.ok())
    {
        return status;
    }
    const absl::StatusOr<std::int64_t> wait_ms = read_wait(request, limits);
    if (!wait_ms.ok())
    {
        return wait_ms.status();
    }
    query.key = query.team + "/" + query.id;
    query.wait_ms = *wait_ms;
    return query;
}

} // namespace egretspindle
