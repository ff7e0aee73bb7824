/// \file
/// Durable record of a request.

#ifndef EGRETSPINDLE_REQUEST_PATH_REQUEST_RECORD_HPP
#define EGRETSPINDLE_REQUEST_PATH_REQUEST_RECORD_HPP

#include "egretspindle/core/request_reply.hpp"
#include "egretspindle/core/request_spec.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace egretspindle
{

/// States of a request record.
namespace record_state
{
/// Batch request without a running attempt.
inline constexpr std::string_view accepted = "accepted";
/// Urgent request whose attempts may run on any target of the data centre.
inline constexpr std::string_view claimed = "claimed";
/// The latest attempt may run, and only on the recorded target.
inline constexpr std::string_view starting = "starting";
inline constexpr std::string_view ended = "ended"; ///< reply is final
} // namespace record_state

/// Value of the row `request/<key>`.
struct request_record
{
    std::string digest;      ///< of the spec, to detect reuse of the id
    std::string state;       ///< one of `record_state`
    std::string coordinator; ///< host that coordinates the request
    std::string data_center; ///< of the coordinator
    int attempt = 0;    ///< latest attempt; first of the coordinator if claimed
    std::string target; ///< of the latest attempt
    std::string target_rack;
    std::string target_data_center;
    std::string boot_id;    ///< boot of the target at the reservation
    std::string checkpoint; ///< to resume from
    std::vector<std::string> failed_targets; ///< of failed attempts
    int failed_attempts = 0;                 ///< attempts that ran and failed
    int last_failed_attempt = 0; ///< so that no attempt is counted twice
    bool cancel_requested = false;
    std::int64_t accepted_unix_ms = 0;
    request_spec spec;         ///< empty once ended
    request_reply reply;       ///< set once ended
    std::string answer_object; ///< key of the answer when it is large
};

/// Visits the fields of `request_record` for the codec.
template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const request_record* /*tag*/)
{
    visit("digest", value.digest);
    visit("state", value.state);
    visit("coordinator", value.coordinator);
    visit("data_center", value.data_center);
    visit("attempt", value.attempt);
    visit("target", value.target);
    visit("target_rack", value.target_rack);
    visit("target_data_center", value.target_data_center);
    visit("boot_id", value.boot_id);
    visit("checkpoint", value.checkpoint);
    visit("failed_targets", value.failed_targets);
    visit("failed_attempts", value.failed_attempts);
    visit("last_failed_attempt", value.last_failed_attempt);
    visit("cancel_requested", value.cancel_requested);
    visit("accepted_unix_ms", value.accepted_unix_ms);
    visit("spec", value.spec);
    visit("reply", value.reply);
    visit("answer_object", value.answer_object);
}

/// Returns the key of the row that holds the record of a request.
[[nodiscard]] std::string record_key(std::string_view key);

/// Returns the shard of a request, from 0 to `shard_count - 1`.
[[nodiscard]] int shard_of(std::string_view key) noexcept;

/// Returns the key of the row that lists an open request of a shard.
[[nodiscard]] std::string open_key(std::string_view data_center, int shard,
                                   std::string_view key);

/// Returns the prefix of the open requests of a shard.
[[nodiscard]] std::string open_prefix(std::string_view data_center, int shard);

/// Returns the target to avoid in the next attempt, if any.
///
/// Only the target of the latest failure is avoided, since a job may have
/// failed on every target of a small rack.
[[nodiscard]] std::vector<std::string>
targets_to_avoid(const request_record& record);

/// Number of shards of open requests in each data centre.
inline constexpr int shard_count = 64;

} // namespace egretspindle

#endif
