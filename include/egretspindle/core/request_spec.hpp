/// \file
/// Request of a caller.

#ifndef EGRETSPINDLE_CORE_REQUEST_SPEC_HPP
#define EGRETSPINDLE_CORE_REQUEST_SPEC_HPP

#include "egretspindle/core/resources.hpp"

#include <cstdint>
#include <string>

namespace egretspindle
{

/// Request as submitted by a caller. `team` and `id` together are the
/// idempotency key.
struct request_spec
{
    std::string id;               ///< chosen by the caller
    std::string team;             ///< owning team
    std::string kind;             ///< service or job kind
    bool urgent = true;           ///< latency-critical; false for batch work
    bool idempotent = true;       ///< may be run again after a failure
    bool checkpointable = true;   ///< can resume from a checkpoint
    resources size;               ///< declared need, may be inaccurate
    std::int64_t expected_ms = 0; ///< declared run time
    std::int64_t deadline_ms = 0; ///< relative to receipt; 0 means none
    std::string body;             ///< opaque input of the task
};

/// Returns the idempotency key `team/id`.
[[nodiscard]] std::string key_of(const request_spec& spec);

/// Returns a digest of all fields except `id` and `team`, which detects that an
/// id is reused for a different request.
[[nodiscard]] std::string digest_of(const request_spec& spec);

/// Visits the fields of `request_spec` for the codec.
template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const request_spec* /*tag*/)
{
    visit("id", value.id);
    visit("team", value.team);
    visit("kind", value.kind);
    visit("urgent", value.urgent);
    visit("idempotent", value.idempotent);
    visit("checkpointable", value.checkpointable);
    visit("size", value.size);
    visit("expected_ms", value.expected_ms);
    visit("deadline_ms", value.deadline_ms);
    visit("body", value.body);
}

} // namespace egretspindle

#endif
