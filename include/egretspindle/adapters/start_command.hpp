/// \file
/// Command that starts a task on a target.

#ifndef EGRETSPINDLE_ADAPTERS_START_COMMAND_HPP
#define EGRETSPINDLE_ADAPTERS_START_COMMAND_HPP

#include "egretspindle/core/resources.hpp"

#include <cstdint>
#include <string>

namespace egretspindle
{

/// Starts one attempt of a request. Times are on the target's clock.
struct start_command
{
    std::int64_t epoch = 0;
    std::int64_t term = 0;
    std::string key; ///< idempotency key of the request
    int attempt = 1;
    std::string team;
    std::string kind;
    bool urgent = true;
    resources reserve; ///< reserved amounts
    std::string body;
    std::string checkpoint;           ///< to resume from; empty for none
    std::int64_t start_before_ms = 0; ///< latest start; 0 means none
    std::int64_t lease_until_ms = 0;
    bool preemptible = false; ///< may be stopped with a checkpoint
    std::int64_t wait_ms = 0; ///< how long to wait for the end
};

/// Visits the fields of `start_command` for the codec.
template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const start_command* /*tag*/)
{
    visit("epoch", value.epoch);
    visit("term", value.term);
    visit("key", value.key);
    visit("attempt", value.attempt);
    visit("team", value.team);
    visit("kind", value.kind);
    visit("urgent", value.urgent);
    visit("reserve", value.reserve);
    visit("body", value.body);
    visit("checkpoint", value.checkpoint);
    visit("start_before_ms", value.start_before_ms);
    visit("lease_until_ms", value.lease_until_ms);
    visit("preemptible", value.preemptible);
    visit("wait_ms", value.wait_ms);
}

} // namespace egretspindle

#endif
