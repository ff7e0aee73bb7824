/// \file
/// Client of an in-memory target.

#ifndef EGRETSPINDLE_TESTS_REQUEST_PATH_FAKE_TARGET_CLIENT_HPP
#define EGRETSPINDLE_TESTS_REQUEST_PATH_FAKE_TARGET_CLIENT_HPP

#include "fake_target.hpp"

namespace egretspindle::test
{

/// Forwards all calls to a `fake_target`, which must outlive the client.
class fake_target_client : public target_client
{
public:
    explicit fake_target_client(fake_target& target) : target_(target) {}

    absl::StatusOr<task_state> start(const start_command& command) override
    {
        return target_.start(command);
    }

    absl::StatusOr<task_state> task(const std::string& key, int attempt,
                                    std::chrono::milliseconds) override
    {
        return target_.task(key, attempt);
    }

    absl::StatusOr<task_state> stop(const stop_command& command) override
    {
        return target_.stop(command);
    }

    absl::StatusOr<task_state>
    throttle(const throttle_command& command) override
    {
        return target_.task(command.key, command.attempt);
    }

    absl::Status acknowledge(const ack_command& command) override
    {
        return target_.acknowledge(command);
    }

    absl::StatusOr<target_state> renew(const renew_command& command) override
    {
        return target_.renew(command);
    }

    absl::StatusOr<target_state> state() override
    {
        return make_error(error_kind::unavailable, "not used");
    }

    absl::StatusOr<fencing_token> claim(const claim_command&) override
    {
        return make_error(error_kind::unavailable, "not used");
    }

private:
    fake_target& target_;
};

} // namespace egretspindle::test

#endif
