#include "egretspindle/admission/retry_budget.hpp"

#include <algorithm>

namespace egretspindle
{

namespace
{

// Initial tokens of a team, so that its first failures can be retried.
constexpr double initial_tokens = 3;

double& find_or_create_bucket(retry_budget& budget, const std::string& team)
{
    return budget.tokens.try_emplace(team, initial_tokens).first->second;
}

} // namespace

void observe_request(retry_budget& budget, const std::string& team)
{
    double& tokens = find_or_create_bucket(budget, team);
    tokens = std::min(budget.max_tokens, tokens + budget.ratio);
}

bool consume_retry_token(retry_budget& budget, const std::string& team)
{
    double& tokens = find_or_create_bucket(budget, team);
    if (tokens < 1)
    {
        return false;
    }
    tokens -= 1;
    return true;
}

double hedge_delay_ms(double tail_ms, double remaining_ms)
{
    // No second copy without an estimate of the 95th percentile of the run time
    // (`tail_ms`), or if a copy sent after that time and running as long would
    // end after the deadline. With `remaining_ms` <= 0, no deadline is
    // considered.
    if (tail_ms <= 0 || (remaining_ms > 0 && 2 * tail_ms > remaining_ms))
    {
        return -1;
    }
    return tail_ms;
}

} // namespace egretspindle
