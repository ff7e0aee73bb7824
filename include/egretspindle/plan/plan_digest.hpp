/// \file
/// Digest of a plan document.

#ifndef EGRETSPINDLE_PLAN_PLAN_DIGEST_HPP
#define EGRETSPINDLE_PLAN_PLAN_DIGEST_HPP

#include <string>
#include <string_view>

namespace egretspindle
{

/// Returns the SHA-256 of a document as lower-case hexadecimal digits.
[[nodiscard]] std::string plan_digest(std::string_view document);

} // namespace egretspindle

#endif
