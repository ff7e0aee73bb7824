// Routing of requests to their coordinators.

#include "egretspindle/request_path/request_router.hpp"

#include "coordinator_fixture.hpp"

#include <catch2/catch.hpp>

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

ended_message make_end(const std::string& id)
{
    ended_message message;
    message.report.task.key = "rota/" + id;
    message.report.task.attempt = 1;
    message.report.task.state = "finished";
    message.report.task.ok = true;
    message.report.task.answer = "draft";
    message.report.target = "target";
    return message;
}

} // namespace

// Guards against shards and requests without a coordinator when no other host
// is alive.
TEST_CASE("a single host coordinates every request")
{
    coordinator_fixture f;
    rpc_client client("key", "host-a");
    membership_service members(make_self(), client,
                               [] { return member_digest{}; });
    request_router router(*f.first, members, client);
    for (int shard = 0; shard < shard_count; ++shard)
    {
        CHECK(router.is_own_shard(shard));
    }
    CHECK(router.coordinator_of("rota/a") == "host-a");
    CHECK(router.submit(make_spec("a"), long_wait)->result == outcome::done);
    CHECK(router.wait({"rota/a", 0})->answer == "answer of rota/a");
    CHECK(router.cancel("rota/a")->result == outcome::done);
    CHECK(kind_of(router.wait({"rota/none", 0}).status()) ==
          error_kind::not_found);
}

// Guards against a report that is accepted in the wrong data centre: the target
// would drop the result although its coordinator has not recorded it.
TEST_CASE("an end is reported only to the coordinator's data centre")
{
    coordinator_fixture f;
    rpc_client client("key", "host-a");
    membership_service members(make_self(), client,
                               [] { return member_digest{}; });
    request_router router(*f.first, members, client);
    CHECK(kind_of(router.report_end("dc-b", make_end("a"))) ==
          error_kind::unavailable);
    CHECK(f.first->entries().empty());
    REQUIRE(wait_until(
        [&] { return router.report_end("dc", make_end("a")).ok(); }));
    CHECK(f.store.record("rota/a").reply.answer == "draft");
}
