/// \file
/// Claim of a target during a store outage.

#ifndef EGRETSPINDLE_ADAPTERS_CLAIM_COMMAND_HPP
#define EGRETSPINDLE_ADAPTERS_CLAIM_COMMAND_HPP

#include <cstdint>
#include <string>

namespace egretspindle
{

/// Asks a target for a new term, once the lease of its owner has expired.
struct claim_command
{
    std::int64_t epoch = 0; ///< highest epoch known to the claimant
    std::string owner;
};

/// Visits the fields of `claim_command` for the codec.
template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const claim_command* /*tag*/)
{
    visit("epoch", value.epoch);
    visit("owner", value.owner);
}

} // namespace egretspindle

#endif
