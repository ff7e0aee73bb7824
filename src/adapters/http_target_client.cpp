#include "egretspindle/adapters/target_client.hpp"

#include "json_call.hpp"

#include <fmt/format.h>

namespace egretspindle
{

namespace
{

// A live target replies in well under a millisecond.
constexpr std::chrono::milliseconds command_timeout{1000};

class http_target_client : public target_client
{
public:
    explicit http_target_client(endpoint server) : client_(std::move(server)) {}

    absl::StatusOr<task_state> start(const start_command& command) override
    {
        http_call call = post("/v1/tasks", to_json(command));
        // A start that is lost with a kept-alive connection has an unknown
        // outcome.
        call.connection = connection_use::fresh;
        call.timeout += std::chrono::milliseconds(command.wait_ms);
        return json_call<task_state>(client_, call);
    }

    absl::StatusOr<task_state> task(const std::string& key, int attempt,
                                    std::chrono::milliseconds wait) override
    {
        http_call call =
            get(fmt::format("/v1/tasks?key={}&attempt={}&wait_ms={}",
                            encode_query(key), attempt, wait.count()));
        call.timeout += wait;
        return json_call<task_state>(client_, call);
    }

    absl::StatusOr<task_state> stop(const stop_command& command) override
    {
        return json_call<task_state>(client_,
                                     post("/v1/tasks/stop", to_json(command)));
    }

    absl::StatusOr<task_state>
    throttle(const throttle_command& command) override
    {
        return json_call<task_state>(
            client_, post("/v1/tasks/throttle", to_json(command)));
    }

    absl::Status acknowledge(const ack_command& command) override
    {
        return json_call<task_state>(client_,
                                     post("/v1/tasks/ack", to_json(command)))
            .status();
    }

    absl::StatusOr<target_state> renew(const renew_command& command) override
    {
        return json_call<target_state>(client_,
                                       post("/v1/renew", to_json(command)));
    }

    absl::StatusOr<target_state> state() override
    {
        return json_call<target_state>(client_, get("/v1/state"));
    }

    absl::StatusOr<fencing_token> claim(const claim_command& command) override
    {
        return json_call<fencing_token>(client_,
                                        post("/v1/claim", to_json(command)));
    }

private:
    static http_call post(std::string path, std::string body)
    {
        http_call call = get(std::move(path));
        call.method = "POST";
        call.body = std::move(body);
        return call;
    }

    static http_call get(std::string path)
    {
        http_call call;
        call.path = std::move(path);
        call.timeout = command_timeout;
        return call;
    }

    http_client client_;
};

} // namespace

absl::StatusOr<std::unique_ptr<target_client>>
make_http_target_client(const std::string& address)
{
    absl::StatusOr<endpoint> server = parse_endpoint(address);
    if (!server.ok())
    {
        return server.status();
    }
    return std::unique_ptr<target_client>(
        std::make_unique<http_target_client>(*std::move(server)));
}

} // namespace egretspindle
