#include "exit_code.hpp"

#include "egretspindle/core/error.hpp"

#include <fmt/format.h>

#include <cstdio>

namespace egretspindle::ctl
{

int report_error(const absl::Status& status)
{
    const error_kind kind = kind_of(status);
    fmt::print(stderr, "egretctl: {}: {}\n", to_string(kind),
               std::string(status.message()));
    switch (kind)
    {
    case error_kind::unauthorized:
    case error_kind::forbidden:
        return exit_denied;
    case error_kind::conflict:
        return exit_conflict;
    case error_kind::unavailable:
    case error_kind::overloaded:
        return exit_no_answer;
    case error_kind::deadline_exceeded:
        return exit_unknown;
    case error_kind::invalid_argument:
    case error_kind::not_found:
    case error_kind::too_large:
        return exit_invalid;
    default:
        return exit_failure;
    }
}

} // namespace egretspindle::ctl
