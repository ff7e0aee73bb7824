/// \file
/// Budget for retries or hedged requests.

#ifndef EGRETSPINDLE_ADMISSION_RETRY_BUDGET_HPP
#define EGRETSPINDLE_ADMISSION_RETRY_BUDGET_HPP

#include <map>
#include <string>

namespace egretspindle
{

/// Token bucket per team, filled by requests and emptied by retries.
///
/// Bounds the extra load of retries to a share of the requests, so that an
/// outage does not multiply its own load.
struct retry_budget
{
    double ratio = 0.1;     ///< tokens per request
    double max_tokens = 20; ///< tokens that a team can save
    std::map<std::string, double> tokens;
};

/// Adds the tokens of one request.
void observe_request(retry_budget& budget, const std::string& team);

/// Takes a token for one retry.
///
/// \returns whether the retry is allowed
[[nodiscard]] bool consume_retry_token(retry_budget& budget,
                                       const std::string& team);

/// Returns when to send a second copy of an idempotent request, in ms after
/// the first, or a negative number when hedging does not pay.
///
/// \param tail_ms       95th percentile of the run time of the kind
/// \param remaining_ms  time to the deadline; 0 means none
[[nodiscard]] double hedge_delay_ms(double tail_ms, double remaining_ms);

} // namespace egretspindle

#endif
