/// \file
/// Authentication of operators.

#ifndef EGRETSPINDLE_ADMIN_AUTHENTICATE_HPP
#define EGRETSPINDLE_ADMIN_AUTHENTICATE_HPP

#include "egretspindle/settings/operator_settings.hpp"

#include <absl/types/span.h>

#include <string_view>

namespace egretspindle
{

/// Returns the operator whose token a request carries, or null.
///
/// \param authorization  header, `Bearer TOKEN`
[[nodiscard]] const operator_settings*
authenticate(absl::Span<const operator_settings> operators,
             std::string_view authorization) noexcept;

} // namespace egretspindle

#endif
