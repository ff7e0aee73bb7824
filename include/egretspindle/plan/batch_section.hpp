/// \file
/// Section of a batch kind in the plan document.

#ifndef EGRETSPINDLE_PLAN_BATCH_SECTION_HPP
#define EGRETSPINDLE_PLAN_BATCH_SECTION_HPP

#include <cstdint>
#include <string>

namespace egretspindle
{

/// Section `batch.KIND`: priority of one kind of batch work.
struct batch_section
{
    std::string team;           ///< owner of the section
    std::int64_t priority = 50; ///< from 0 to 100; higher starts earlier
};

} // namespace egretspindle

#endif
