/// \file
/// Error kinds.

#ifndef EGRETSPINDLE_CORE_ERROR_KIND_HPP
#define EGRETSPINDLE_CORE_ERROR_KIND_HPP

#include <string_view>

namespace egretspindle
{

/// Kind of an error, as shown to callers and operators.
enum class error_kind
{
    invalid_argument,
    conflict,
    unknown_team,
    too_large,
    unsupported_media_type,
    not_found,
    unauthorized,
    forbidden,
    overloaded,
    unavailable,
    deadline_exceeded,
    stale_epoch,
    internal,
};

/// Returns the wire name of a kind, for example `stale_epoch`.
[[nodiscard]] std::string_view to_string(error_kind kind) noexcept;

/// Returns the kind with the given wire name, or `internal`.
[[nodiscard]] error_kind error_kind_from(std::string_view name) noexcept;

} // namespace egretspindle

#endif
