/// \file
/// Network call requested by the ownership decisions.

#ifndef EGRETSPINDLE_OWNERSHIP_OWNERSHIP_ACTION_HPP
#define EGRETSPINDLE_OWNERSHIP_OWNERSHIP_ACTION_HPP

#include "egretspindle/adapters/host_entry.hpp"
#include "egretspindle/adapters/store_transaction.hpp"
#include "egretspindle/ownership/rack_id.hpp"

#include <cstdint>
#include <string>

namespace egretspindle
{

/// Kind of a network call.
enum class ownership_call
{
    read_row,
    scan_rows,
    write_row,
    claim_target,
    request_release,
};

/// Network call and its parameters.
struct ownership_action
{
    ownership_call call = ownership_call::read_row;
    rack_id rack;
    store_transaction transaction; ///< of `write_row`
    host_entry target;             ///< of `claim_target`
    std::string host;              ///< of `request_release`
    std::int64_t epoch = 0;        ///< of `claim_target` and `request_release`
    std::uint64_t generation = 0;  ///< of the state at the decision
};

} // namespace egretspindle

#endif
