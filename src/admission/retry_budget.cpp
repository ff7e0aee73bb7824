#include "egretspindle/admission/retry_budget.hpp"

#include <algorithm>

namespace egretspindle
{

namespace
{

// Tokens of a team without requests so far, so that its first failure can be
// retried.
constexpr double initial_tokens = 3;

double& tokens_of(retry_budget& budget, const std::string& team)
{
    return budget.tokens.try_emplace(team, initial_tokens).first->second;
}

} // namespace

void observe_request(retry_budget& budget, const std::string& team)
{
    double& tokens = tokens_of(budget, team);
    tokens = std::min(budget.max_tokens, tokens + budget.ratio);
}

bool consume_retry_token(retry_budget& budget, const std::string& team)
{
    double& tokens = tokens_of(budget, team);
    if (tokens < 1)
    {
        return false;
    }
    tokens -= 1;
    return true;
}

double hedge_delay_ms(double tail_ms, double remaining_ms)
{
    // A second copy only helps when it can still end before the deadline.
    if (tail_ms <= 0 || (remaining_ms > 0 && 2 * tail_ms > remaining_ms))
    {
        return -1;
    }
    return tail_ms;
}

} // namespace egretspindle
