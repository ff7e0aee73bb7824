/// \file
/// Operators and their roles.

#ifndef EGRETSPINDLE_SETTINGS_OPERATOR_SETTINGS_HPP
#define EGRETSPINDLE_SETTINGS_OPERATOR_SETTINGS_HPP

#include <string>

namespace egretspindle
{

/// Role of an operator, which determines the permitted changes.
enum class operator_role
{
    member,     ///< `operator`: may edit sections of the own team
    supervisor, ///< may also accept the whole plan
};

/// One person or program that may use the administration interface.
struct operator_settings
{
    std::string name;
    std::string team;
    operator_role role = operator_role::member;
    std::string token; ///< bearer token
};

} // namespace egretspindle

#endif
