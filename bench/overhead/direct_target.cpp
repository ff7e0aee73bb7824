#include "direct_target.hpp"

#include "egretspindle/adapters/start_command.hpp"
#include "egretspindle/adapters/target_state.hpp"
#include "egretspindle/adapters/task_state.hpp"
#include "egretspindle/codec/json.hpp"

#include "support/json_http.hpp"
#include "support/wait_until.hpp"

#include <fmt/format.h>

#include <stdexcept>
#include <vector>

namespace egretspindle::bench
{

namespace
{

constexpr std::int64_t lease_ms = 3'600'000;

} // namespace

direct_target::direct_target()
    : address_(ports_.reserve_address()),
      process_("standin_target",
               {"--listen", address_, "--journal", directory_.file("journal")},
               directory_.file("log"))
{
    const bool is_ready = test::wait_until(
        [this] { return test::send_http(address_, "GET", "/v1/state").ok(); });
    if (!is_ready)
    {
        throw std::runtime_error("no target on " + address_);
    }
    const absl::StatusOr<http_response> response =
        test::send_http(address_, "GET", "/v1/state");
    lease_until_ms_ =
        from_json<target_state>(response->body)->clock_ms + lease_ms;
    client_ = std::make_unique<http_client>(*parse_endpoint(address_));
}

bool direct_target::run(int number, int work_ms)
{
    start_command command;
    command.epoch = 1;
    command.key = fmt::format("rota/direct-{}", number);
    command.team = "rota";
    command.kind = "draft";
    command.reserve = {1, 200, 0};
    command.body =
        fmt::format(R"({{"work_ms":{},"answer_bytes":40}})", work_ms);
    command.lease_until_ms = lease_until_ms_;
    command.wait_ms = 5000;
    http_call call;
    call.method = "POST";
    call.path = "/v1/tasks";
    call.body = to_json(command);
    call.timeout = std::chrono::seconds(10);
    const absl::StatusOr<http_response> response = client_->send(call);
    if (!response.ok() || response->status != 200)
    {
        return false;
    }
    const absl::StatusOr<task_state> state =
        from_json<task_state>(response->body);
    return state.ok() && state->state == "finished" && state->ok;
}

} // namespace egretspindle::bench
