#include "caller_interface.hpp"
#include "decode_rows.hpp"

#include <catch2/catch.hpp>

using namespace egretspindle;
using namespace egretspindle::platform;

namespace
{

const std::string config_text =
    R"({"version":7,"routes":[{"name":"r-1","host":"a.example",)"
    R"("pathPrefix":"/p/","kind":"unsafe","timeoutMs":3000,)"
    R"("targetDurationMs":250,"priority":1,"service":"svc","maxAttempts":3,)"
    R"("stretch":1.5},{"name":"r-2","host":"a.example",)"
    R"("pathPrefix":"/p/sub/","service":"svc"}],)"
    R"("services":[{"name":"svc","rejectsOverload":true}],"limits":{}})";

struct fake_caller_port final : caller_port
{
    submit_verdict submitted = submit_verdict::accepted;
    lookup_verdict looked_up = lookup_verdict::known;
    job_spec spec;
    std::string queue;
    std::chrono::milliseconds budget{0};

    submit_answer submit(const std::string& name, const std::string& /*id*/,
                         job_spec value,
                         std::chrono::milliseconds time) override
    {
        queue = name;
        spec = std::move(value);
        budget = time;
        return {submitted, 4'000};
    }
    job_answer query(const std::string& /*id*/,
                     std::chrono::milliseconds time) override
    {
        budget = time;
        return {looked_up, "running"};
    }
    job_answer cancel(const std::string& /*id*/,
                      std::chrono::milliseconds time) override
    {
        budget = time;
        return {looked_up, "cancelled"};
    }
    std::int64_t pending(const std::string& /*queue*/) override
    {
        return 12;
    }
};

http_request make_request(const std::string& method, const std::string& path,
                          const std::string& body = "")
{
    http_request request;
    request.method = method;
    request.path = path;
    request.body = body;
    request.headers["host"] = "a.example:8161";
    return request;
}

const std::string job_path = "/p/0123456789abcdef";
const std::string job_body =
    R"({"spec":"x","steps":[{"count":4,"cpu":500,"memMb":256,)"
    R"("estimateMs":900,"dataRack":"r1-3","fills":true,"mayMiss":2},)"
    R"({"count":2,"after":[0],"checkpointing":true,"longRunning":true,)"
    R"("targetMs":50,"image":"i","maxPerServer":1}]})";

} // namespace

TEST_CASE("the platform's configuration is decoded", "[platform]")
{
    const absl::StatusOr<fleet_config> config = decode_config(config_text);
    REQUIRE(config.ok());
    REQUIRE(config->version == 7);
    REQUIRE(config->queues[0].max_attempts == 3);
    REQUIRE(config->queues[0].stretch == Approx(1.5));
    REQUIRE(config->services[0].rejects_overload);
    REQUIRE_FALSE(decode_config("{").ok());
}

TEST_CASE("malformed target entries are rejected", "[platform]")
{
    const std::string entry =
        R"({"service":"svc","address":"10.0.0.1:80","zone":"z",)"
        R"("state":"ready","capacity":{"cpu":16000,"memMb":1,"gpu":2},)"
        R"("labels":["a","r1-3"],"born":5})";
    const absl::StatusOr<target_entry> target = decode_target("i-1", entry);
    REQUIRE(target.ok());
    REQUIRE(target->rack == "r1-3");
    REQUIRE(target->capacity.cpu_milli == 16'000);
    REQUIRE_FALSE(target->is_draining);
    for (const char* text :
         {"", "\xff\xfe", "[]", "{}", R"({"service":5})",
          R"({"service":"svc","address":"a","state":"odd","labels":["x"]})",
          R"({"service":"svc","address":"a","state":"ready","labels":"x"})"})
    {
        CAPTURE(text);
        REQUIRE_FALSE(decode_target("i-1", text).ok());
    }
}

TEST_CASE("a job is submitted to the queue with the longest matching prefix",
          "[platform]")
{
    const fleet_config config = *decode_config(config_text);
    fake_caller_port port;
    REQUIRE(handle_caller_request(make_request("POST", job_path, job_body),
                                  config, port)
                .status == 200);
    REQUIRE(port.queue == "r-1");
    REQUIRE(port.spec.steps.size() == 2);
    REQUIRE(port.spec.steps[0].uses_idle_cpu);
    REQUIRE(port.spec.steps[0].data_rack == "r1-3");
    REQUIRE(port.spec.steps[1].is_long_running);
    REQUIRE(port.spec.steps[1].max_per_target == 1);
    REQUIRE(handle_caller_request(
                make_request("POST", "/p/sub/0123456789abcdef", job_body),
                config, port)
                .status == 200);
    REQUIRE(port.queue == "r-2");
}

// Statuses 429 and 503 promise that the job never runs, so they must not be
// returned for an unknown outcome.
TEST_CASE("each outcome has its HTTP status", "[platform]")
{
    const fleet_config config = *decode_config(config_text);
    fake_caller_port port;
    const http_request post = make_request("POST", job_path, job_body);
    port.submitted = submit_verdict::refused;
    const http_response refused = handle_caller_request(post, config, port);
    REQUIRE(refused.status == 503);
    REQUIRE(refused.headers.front().first == "Retry-After");
    REQUIRE(refused.headers.front().second == "4");
    port.submitted = submit_verdict::unknown;
    REQUIRE(handle_caller_request(post, config, port).status == 504);
    const http_request get = make_request("GET", job_path);
    REQUIRE(handle_caller_request(get, config, port).body ==
            R"({"state":"running"})");
    port.looked_up = lookup_verdict::absent;
    REQUIRE(handle_caller_request(get, config, port).status == 410);
    REQUIRE(
        handle_caller_request(make_request("DELETE", job_path), config, port)
            .status == 410);
    port.looked_up = lookup_verdict::unknown;
    REQUIRE(handle_caller_request(get, config, port).status == 504);
    REQUIRE(
        handle_caller_request(make_request("GET", "/p/"), config, port).body ==
        R"({"pending":12})");
    REQUIRE(handle_caller_request(make_request("GET", "/other/"), config, port)
                .status == 404);
    REQUIRE(
        handle_caller_request(make_request("POST", job_path, "{"), config, port)
            .status == 400);
    REQUIRE(handle_caller_request(get, fleet_config{}, port).status == 503);
}

TEST_CASE("the time of a call is limited by the caller's deadline",
          "[platform]")
{
    const fleet_config config = *decode_config(config_text);
    fake_caller_port port;
    http_request post = make_request("POST", job_path, job_body);
    post.headers["egretspindle-deadline-ms"] = "900";
    static_cast<void>(handle_caller_request(post, config, port));
    REQUIRE(port.budget < std::chrono::milliseconds(900));
    post.headers["egretspindle-deadline-ms"] = "junk";
    static_cast<void>(handle_caller_request(post, config, port));
    REQUIRE(port.budget <= std::chrono::milliseconds(3'000));
}

// Guards against a call that waits for its owner until its host has ended.
TEST_CASE("the time of a call is limited by the time of its host", "[platform]")
{
    const fleet_config config = *decode_config(config_text);
    const std::string method = GENERATE("POST", "GET", "DELETE");
    CAPTURE(method);
    fake_caller_port port;
    http_request request = make_request(method, job_path, job_body);
    request.headers["egretspindle-deadline-ms"] = "60000";
    const std::chrono::milliseconds limit(700);
    static_cast<void>(handle_caller_request(request, config, port, limit));
    CHECK(port.budget > std::chrono::milliseconds(0));
    CHECK(port.budget < limit);
}

// Guards against a refusal that tells callers that their job may run, or not to
// try another host.
TEST_CASE("a host that stops refuses with advice to retry", "[platform]")
{
    const http_response refused = make_stopping_reply();
    CHECK(refused.status == 503);
    REQUIRE(refused.headers.size() == 1);
    CHECK(refused.headers.front().first == "Retry-After");
    CHECK(refused.headers.front().second == "1");
}
