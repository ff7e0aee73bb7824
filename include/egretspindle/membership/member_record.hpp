/// \file
/// What a host knows about another member.

#ifndef EGRETSPINDLE_MEMBERSHIP_MEMBER_RECORD_HPP
#define EGRETSPINDLE_MEMBERSHIP_MEMBER_RECORD_HPP

#include "egretspindle/core/clock.hpp"
#include "egretspindle/protocol/member_digest.hpp"

#include <cstdint>

namespace egretspindle
{

/// Last digest of a member and the bookkeeping of its dissemination.
struct member_record
{
    member_digest digest;
    time_point state_since;    ///< when the state was entered here
    time_point last_advance;   ///< when incarnation or sequence last rose
    int event_sends = 0;       ///< messages that carried the present state
    bool has_news = true;      ///< changed since it was last relayed
    std::uint64_t sent_at = 0; ///< order in which it was last relayed
};

} // namespace egretspindle

#endif
