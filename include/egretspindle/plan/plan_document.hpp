/// \file
/// Parsed plan document.

#ifndef EGRETSPINDLE_PLAN_PLAN_DOCUMENT_HPP
#define EGRETSPINDLE_PLAN_PLAN_DOCUMENT_HPP

#include "egretspindle/plan/batch_section.hpp"
#include "egretspindle/plan/break_section.hpp"
#include "egretspindle/plan/hosts_section.hpp"
#include "egretspindle/plan/service_section.hpp"
#include "egretspindle/plan/team_section.hpp"

#include <map>
#include <string>

namespace egretspindle
{

/// Sections of a plan. The keys of `teams` are team names; those of `services`
/// and `batches` are kinds.
struct plan_document
{
    std::map<std::string, team_section> teams;
    std::map<std::string, service_section> services;
    std::map<std::string, batch_section> batches;
    hosts_section hosts;
    break_section breaks;
};

} // namespace egretspindle

#endif
