/// \file
/// Rendezvous (highest random weight) hashing.

#ifndef EGRETSPINDLE_CORE_RENDEZVOUS_HASH_HPP
#define EGRETSPINDLE_CORE_RENDEZVOUS_HASH_HPP

#include <absl/types/span.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace egretspindle
{

/// Returns a stable 64-bit hash, equal on every host.
[[nodiscard]] std::uint64_t stable_hash(std::string_view text,
                                        std::uint64_t seed = 0) noexcept;

/// Returns the index of the candidate with the highest weight for `key`.
///
/// All hosts with the same candidates choose the same one, and removing a
/// candidate reassigns only its own keys.
///
/// \returns the index, or `candidates.size()` when there are none
[[nodiscard]] std::size_t
rendezvous_choice(std::string_view key,
                  absl::Span<const std::string> candidates) noexcept;

} // namespace egretspindle

#endif
