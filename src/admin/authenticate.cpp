#include "egretspindle/admin/authenticate.hpp"

#include "egretspindle/net/message_auth.hpp"

namespace egretspindle
{

const operator_settings*
authenticate(absl::Span<const operator_settings> operators,
             std::string_view authorization) noexcept
{
    constexpr std::string_view scheme = "Bearer ";
    if (authorization.substr(0, scheme.size()) != scheme)
    {
        return nullptr;
    }
    const std::string_view token = authorization.substr(scheme.size());
    const operator_settings* found = nullptr;
    // Compares every token, so that the time does not reveal which matched.
    for (const operator_settings& candidate : operators)
    {
        const bool matches = constant_time_equal(candidate.token, token);
        if (matches && !candidate.token.empty())
        {
            found = &candidate;
        }
    }
    return found;
}

} // namespace egretspindle
