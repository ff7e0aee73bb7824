#include "egretspindle/admin/admin_service.hpp"
#include "egretspindle/admin/cluster_status.hpp"
#include "egretspindle/codec/json.hpp"
#include "egretspindle/core/error.hpp"

#include "../plan/memory_store.hpp"

#include <catch2/catch.hpp>

#include <atomic>
#include <string>

using namespace egretspindle;

namespace
{

member_digest make_member(const std::string& name, const std::string& center)
{
    member_digest member;
    member.name = name;
    member.address = name + ":1";
    member.data_center = center;
    return member;
}

struct fixture
{
    fixture()
        : plans(
              store, peers, [] { return std::vector<member_digest>(); }, table,
              [] { return std::int64_t{0}; }, {}),
          admin({{"ayu", "rota", operator_role::supervisor, "token-of-ayu"},
                 {"chai", "archive", operator_role::member, "token-of-chai"},
                 {"none", "rota", operator_role::member, ""}},
                plans, table, hooks())
    {
    }

    admin_hooks hooks()
    {
        admin_hooks result;
        result.local_status = []
        {
            host_status status;
            status.self = make_member("e1", "karak-b");
            status.members = {make_member("e1", "karak-b"),
                              make_member("e2", "bentong-a"),
                              make_member("e3", "bentong-a")};
            status.plan_version = 4;
            return status;
        };
        result.peer_status =
            [](const std::string& address) -> absl::StatusOr<host_status>
        {
            if (address == "e2:1")
            {
                return make_error(error_kind::unavailable, "no answer");
            }
            host_status status;
            status.plan_version = 3;
            return status;
        };
        result.explain = [](const std::string& key)
        {
            return absl::StatusOr<std::string>("explanation of " + key);
        };
        return result;
    }

    http_response send(const std::string& method, const std::string& path,
                       const std::string& body = "",
                       const std::string& token = "token-of-ayu")
    {
        http_request request;
        request.method = method;
        request.path = "/admin/v1/" + path;
        request.body = body;
        request.authorization = "Bearer " + token;
        return admin.handle(request);
    }

    test::memory_store store;
    rpc_client peers{"key", "e1"};
    plan_table table;
    plan_service plans;
    admin_service admin;
};

} // namespace

TEST_CASE("a request needs the token of an operator", "[admin]")
{
    fixture host;
    CHECK(host.send("GET", "plan").status == 200);
    for (const char* token : {"", "token-of-ay", "token-of-ayu ", "x"})
    {
        const http_response response = host.send("GET", "plan", "", token);
        CHECK(response.status == 401);
        CHECK(response.body.find("\"unauthorized\"") != std::string::npos);
    }
}

TEST_CASE("role and team of the operator determine the permitted changes",
          "[admin]")
{
    fixture host;
    const std::string edit =
        R"({"name":"team.archive","text":"weight = 2","base_version":0})";
    CHECK(host.send("POST", "plan/edit", edit).status == 403);
    CHECK(host.send("POST", "plan/edit", edit, "token-of-chai").status == 200);
    CHECK(
        host.send("POST", "plan/accept", R"({"digest":"00"})", "token-of-chai")
            .status == 403);
    CHECK(host.send("POST", "plan/accept", R"({"digest":"00"})").status == 409);
}

TEST_CASE("an edit conflict returns both texts", "[admin]")
{
    fixture host;
    const auto edit = [&](const std::string& text)
    {
        return host.send("POST", "plan/edit",
                         R"({"name":"team.rota","text":")" + text +
                             R"(","base_version":0})");
    };
    CHECK(edit("weight = 2").status == 200);
    const http_response response = edit("weight = 3");
    CHECK(response.status == 409);
    CHECK(response.body.find("\"conflict\"") != std::string::npos);
    CHECK(response.body.find("weight = 2") != std::string::npos);
    CHECK(response.body.find("weight = 3") != std::string::npos);
}

// Guards against a status that omits hosts which did not answer.
TEST_CASE("the status names hosts that do not answer", "[admin]")
{
    fixture host;
    const http_response response = host.send("GET", "status");
    REQUIRE(response.status == 200);
    const absl::StatusOr<cluster_status> status =
        from_json<cluster_status>(response.body);
    REQUIRE(status.ok());
    CHECK_FALSE(status->is_complete);
    CHECK(status->plan_version == 4);
    REQUIRE(status->hosts.size() == 3);
    CHECK(status->hosts[0].name == "e2");
    CHECK(status->hosts[0].error == "no answer");
    CHECK(status->hosts[1].plan_version == 3);
    REQUIRE(status->data_centers.size() == 2);
    CHECK(status->data_centers[0].reachable == 1);
    CHECK(status->data_centers[0].hosts == 2);
}

TEST_CASE("malformed requests get a typed error", "[admin]")
{
    fixture host;
    CHECK(host.send("POST", "plan/edit", "{").status == 400);
    CHECK(host.send("POST", "plan/edit",
                    R"({"name":"team.rota","text":"","base":0})")
              .status == 400);
    CHECK(host.send("POST", "plan/edit",
                    "{\"name\":\"team.rota\",\"text\":\"# \xff\"}")
              .status == 400);
    CHECK(host.send("POST", "drain", R"({"target":"a/b"})").status == 404);
    CHECK(host.send("GET", "plan/edit").status == 400);
    CHECK(host.send("GET", "nothing").status == 404);
    CHECK(host.send("GET", "explain/rota").status == 400);
    CHECK(host.send("GET", "explain/rota/a/b").status == 400);
    CHECK(host.send("GET", "explain/rota/r-1").body ==
          R"({"text":"explanation of rota/r-1"})");
    CHECK(host.send("GET", "targets").status == 503);
}
