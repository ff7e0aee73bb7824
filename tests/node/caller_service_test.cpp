// Caller interface with a local coordinator.

#include "egretspindle/codec/json.hpp"
#include "egretspindle/core/error.hpp"
#include "egretspindle/node/caller_service.hpp"
#include "egretspindle/plan/plan_digest.hpp"

#include "../request_path/coordinator_fixture.hpp"

#include <catch2/catch.hpp>

#include <thread>

using namespace egretspindle;
using namespace egretspindle::test;

namespace
{

membership_options make_self()
{
    membership_options options;
    options.name = "host-a";
    options.address = "127.0.0.1:1";
    options.data_center = "dc";
    return options;
}

accepted_plan make_plan()
{
    accepted_plan plan;
    plan.version = 1;
    plan.document = "[team.rota]\nmax_queue = 10\n"
                    "[service.draft]\nteam = \"rota\"\nmax_cpu_cores = 4\n"
                    "[hosts]\nteam = \"rota\"\n[break]\nteam = \"rota\"\n"
                    "windows = [\"11:30-12:00\"]\n";
    plan.digest = plan_digest(plan.document);
    return plan;
}

/// One host whose coordinator is always local.
struct service_fixture
{
    http_response call(const std::string& method, const std::string& path,
                       const std::string& body = "")
    {
        http_request request;
        request.method = method;
        request.path = path;
        request.content_type = body.empty() ? "" : "application/json";
        request.body = body;
        return service->handle(request);
    }

    http_response submit(const std::string& id,
                         const std::string& extra_fields = "")
    {
        return call("POST", "/v1/requests",
                    R"({"id":")" + id +
                        R"(","team":"rota","kind":"draft","urgency":"urgent",)"
                        R"("idempotent":true,"size":{"cpu_cores":1,)"
                        R"("memory_mb":100,"accelerators":0},)"
                        R"("expected_ms":5,"body":"input")" +
                        extra_fields + "}");
    }

    void make_service()
    {
        service = std::make_unique<caller_service>(
            limits, router, plans, metrics,
            caller_hooks{[this] { return reason; },
                         [] {
                         }});
    }

    coordinator_fixture coordinators;
    rpc_client client{"key", "host-a"};
    membership_service members{make_self(), client,
                               []
                               {
                                   return member_digest{};
                               }};
    request_router router{*coordinators.first, members, client};
    plan_table plans;
    metric_registry metrics;
    limit_settings limits;
    std::string reason;
    std::unique_ptr<caller_service> service;
};

} // namespace

// Guards against callers that receive another outcome than the coordinator's,
// and against a query that does not find the request.
TEST_CASE("a finished request can be queried and ignores a late cancel")
{
    service_fixture f;
    f.make_service();
    REQUIRE(f.plans.offer(make_plan()).ok());
    const http_response done = f.submit("a");
    CHECK(done.status == 200);
    CHECK(done.body.find("answer of rota/a") != std::string::npos);
    CHECK(f.call("GET", "/v1/requests/rota/a").body == done.body);
    CHECK(f.call("DELETE", "/v1/requests/rota/a").body == done.body);
    CHECK(f.call("GET", "/v1/requests/rota/none").status == 404);
    CHECK(f.call("PUT", "/v1/requests").status == 404);
    CHECK(f.coordinators.router.starts().size() == 1);
    f.coordinators.router.set(&fake_router::is_held, true);
    CHECK(f.submit("b", R"(,"wait_ms":0)").status == 202);
    CHECK(
        wait_until([&] { return f.coordinators.router.starts().size() == 2; }));
    CHECK(f.call("GET", "/v1/requests/rota/b").status == 202);
    const http_response cancelled = f.call("DELETE", "/v1/requests/rota/b");
    CHECK(cancelled.body.find("cancelled") != std::string::npos);
    CHECK_FALSE(f.coordinators.router.is_running({"rota/b", 1}));
}

// Guards against requests that run before a plan is in force, or beyond its
// limits.
TEST_CASE("requests are checked against the plan")
{
    service_fixture f;
    f.make_service();
    const http_response early = f.submit("a");
    CHECK(early.status == 503);
    CHECK(early.body.find("not_run") != std::string::npos);
    REQUIRE(f.plans.offer(make_plan()).ok());
    const std::string other =
        R"({"id":"b","team":"none","kind":"draft","urgency":"urgent",)"
        R"("idempotent":true,"size":{"cpu_cores":1,"memory_mb":100,)"
        R"("accelerators":0},"expected_ms":5,"body":""})";
    const http_response unknown = f.call("POST", "/v1/requests", other);
    CHECK(unknown.status / 100 == 4);
    CHECK(unknown.body.find("unknown_team") != std::string::npos);
    std::string large = other;
    large.replace(large.find("none"), 4, "rota");
    large.replace(large.find("\"cpu_cores\":1"), 13, "\"cpu_cores\":5");
    CHECK(f.call("POST", "/v1/requests", large).status == 400);
    CHECK(f.coordinators.router.starts().empty());
}

// Guards against an overload of urgent requests that occupies all threads, and
// against a rejected request that runs all the same.
TEST_CASE("urgent requests above the limit are not run")
{
    service_fixture f;
    f.limits.max_urgent_in_service = 1;
    f.make_service();
    REQUIRE(f.plans.offer(make_plan()).ok());
    f.coordinators.router.set(&fake_router::is_held, true);
    http_response first;
    std::thread caller([&] { first = f.submit("a"); });
    CHECK(
        wait_until([&] { return f.coordinators.router.starts().size() == 1; }));
    const http_response second = f.submit("b");
    CHECK(second.status == 503);
    CHECK(second.body.find("not_run") != std::string::npos);
    f.coordinators.router.finish({"rota/a", 1}, "draft");
    caller.join();
    CHECK(first.status == 200);
    CHECK(f.coordinators.router.starts().size() == 1);
    f.coordinators.router.set(&fake_router::is_held, false);
    CHECK(f.submit("b").status == 200);
}

// Guards against traffic to a host that cannot serve it yet.
TEST_CASE("the readiness probe returns the reason for not being ready")
{
    service_fixture f;
    f.make_service();
    CHECK(f.call("GET", "/healthz").status == 200);
    CHECK(f.call("GET", "/readyz").status == 200);
    f.reason = "no plan";
    CHECK(f.call("GET", "/readyz").status == 503);
    CHECK(f.call("GET", "/readyz").body == "no plan\n");
    CHECK(f.call("GET", "/metrics").status == 200);
}
