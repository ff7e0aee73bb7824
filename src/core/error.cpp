#include "egretspindle/core/error.hpp"

#include <absl/strings/cord.h>

#include <array>
#include <string>
#include <utility>

namespace egretspindle
{

namespace
{

constexpr std::string_view kind_payload_url = "egretspindle/error-kind";

struct kind_entry
{
    error_kind kind;
    std::string_view name;
    absl::StatusCode code;
};

constexpr std::array<kind_entry, 13> kinds{{
    {error_kind::invalid_argument, "invalid_argument",
     absl::StatusCode::kInvalidArgument},
    {error_kind::conflict, "conflict", absl::StatusCode::kAlreadyExists},
    {error_kind::unknown_team, "unknown_team",
     absl::StatusCode::kInvalidArgument},
    {error_kind::too_large, "too_large", absl::StatusCode::kOutOfRange},
    {error_kind::unsupported_media_type, "unsupported_media_type",
     absl::StatusCode::kInvalidArgument},
    {error_kind::not_found, "not_found", absl::StatusCode::kNotFound},
    {error_kind::unauthorized, "unauthorized",
     absl::StatusCode::kUnauthenticated},
    {error_kind::forbidden, "forbidden", absl::StatusCode::kPermissionDenied},
    {error_kind::overloaded, "overloaded",
     absl::StatusCode::kResourceExhausted},
    {error_kind::unavailable, "unavailable", absl::StatusCode::kUnavailable},
    {error_kind::deadline_exceeded, "deadline_exceeded",
     absl::StatusCode::kDeadlineExceeded},
    {error_kind::stale_epoch, "stale_epoch",
     absl::StatusCode::kFailedPrecondition},
    {error_kind::internal, "internal", absl::StatusCode::kInternal},
}};

const kind_entry& entry_of(error_kind kind) noexcept
{
    for (const kind_entry& entry : kinds)
    {
        if (entry.kind == kind)
        {
            return entry;
        }
    }
    return kinds.back();
}

} // namespace

std::string_view to_string(error_kind kind) noexcept
{
    return entry_of(kind).name;
}

error_kind error_kind_from(std::string_view name) noexcept
{
    for (const kind_entry& entry : kinds)
    {
        if (entry.name == name)
        {
            return entry.kind;
        }
    }
    return error_kind::internal;
}

absl::Status make_error(error_kind kind, std::string_view message)
{
    absl::Status status(entry_of(kind).code,
                        absl::string_view(message.data(), message.size()));
    status.SetPayload(
        absl::string_view(kind_payload_url.data(), kind_payload_url.size()),
        absl::Cord(
            absl::string_view(to_string(kind).data(), to_string(kind).size())));
    return status;
}

error_kind kind_of(const absl::Status& status)
{
    const absl::optional<absl::Cord> payload = status.GetPayload(
        absl::string_view(kind_payload_url.data(), kind_payload_url.size()));
    if (payload)
    {
        return error_kind_from(std::string(*payload));
    }
    return error_kind::internal;
}

} // namespace egretspindle
