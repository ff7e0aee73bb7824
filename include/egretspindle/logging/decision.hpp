/// \file
/// Log line of a routing or placement decision.

#ifndef EGRETSPINDLE_LOGGING_DECISION_HPP
#define EGRETSPINDLE_LOGGING_DECISION_HPP

#include <string>
#include <string_view>

namespace egretspindle
{

/// Routing or placement decision for a request, with its reason.
struct decision
{
    std::string_view action; ///< for example `place`, `evict`, `reject`
    std::string_view request;
    std::string_view rack;
    std::string_view target;
    std::string alternatives; ///< rejected choices with their costs
    std::string_view reason;
};

/// Logs a decision at level `info`.
void log_decision(const decision& entry);

} // namespace egretspindle

#endif
