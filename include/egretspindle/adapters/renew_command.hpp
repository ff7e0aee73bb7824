/// \file
/// Renewal of the leases on a target.

#ifndef EGRETSPINDLE_ADAPTERS_RENEW_COMMAND_HPP
#define EGRETSPINDLE_ADAPTERS_RENEW_COMMAND_HPP

#include <cstdint>
#include <string>

namespace egretspindle
{

/// Renews the leases of all tasks on a target.
struct renew_command
{
    std::int64_t epoch = 0;
    std::int64_t term = 0;
    std::string owner;
    std::int64_t lease_until_ms = 0; ///< on the target's clock
};

/// Visits the fields of `renew_command` for the codec.
template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const renew_command* /*tag*/)
{
    visit("epoch", value.epoch);
    visit("term", value.term);
    visit("owner", value.owner);
    visit("lease_until_ms", value.lease_until_ms);
}

} // namespace egretspindle

#endif
