/// \file
/// Entry of another member in the membership state.

#ifndef EGRETSPINDLE_MEMBERSHIP_MEMBER_RECORD_HPP
#define EGRETSPINDLE_MEMBERSHIP_MEMBER_RECORD_HPP

#include "egretspindle/core/clock.hpp"
#include "egretspindle/protocol/member_digest.hpp"

#include <cstdint>

namespace egretspindle
{

/// Last known digest of a member and the state of its dissemination.
struct member_record
{
    member_digest digest;
    time_point state_since; ///< when this host recorded the present state
    /// When the incarnation or sequence last rose, or when the member last
    /// exchanged a message with this host.
    time_point last_update;
    int change_sends = 0;           ///< messages that carried the last change
    bool has_unsent_content = true; ///< content changed since it was last sent
    /// `membership_state::send_count` when the content was last sent.
    std::uint64_t content_send_number = 0;
};

} // namespace egretspindle

#endif
