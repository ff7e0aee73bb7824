/// \file
/// Fencing token of a rack owner.

#ifndef EGRETSPINDLE_ADAPTERS_FENCING_TOKEN_HPP
#define EGRETSPINDLE_ADAPTERS_FENCING_TOKEN_HPP

#include <cstdint>

namespace egretspindle
{

/// Orders the owners of a rack. A target rejects commands with a lower token
/// than the highest it has seen.
struct fencing_token
{
    std::int64_t epoch = 0; ///< increases with each grant by the store
    std::int64_t term = 0;  ///< increases with each grant by a target
};

/// Returns whether `lhs` is older than `rhs`.
[[nodiscard]] constexpr bool operator<(const fencing_token& lhs,
                                       const fencing_token& rhs) noexcept
{
    return lhs.epoch != rhs.epoch ? lhs.epoch < rhs.epoch : lhs.term < rhs.term;
}

/// Returns whether two tokens are equal.
[[nodiscard]] constexpr bool operator==(const fencing_token& lhs,
                                        const fencing_token& rhs) noexcept
{
    return lhs.epoch == rhs.epoch && lhs.term == rhs.term;
}

/// Visits the fields of `fencing_token` for the codec.
template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const fencing_token* /*tag*/)
{
    visit("epoch", value.epoch);
    visit("term", value.term);
}

} // namespace egretspindle

#endif
