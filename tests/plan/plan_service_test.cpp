#include "egretspindle/core/error.hpp"
#include "egretspindle/plan/plan_service.hpp"

#include "memory_store.hpp"

#include <catch2/catch.hpp>

#include <string>

using namespace egretspindle;

namespace
{

constexpr std::int64_t time_in_break = 12 * 3'600'000LL;
constexpr std::int64_t time_outside_break = 18 * 3'600'000LL;

const plan_actor rota_supervisor{"ayu", "rota", true};
const plan_actor rota_member{"budi", "rota", false};
const plan_actor archive_supervisor{"chai", "archive", true};

/// Host under test. Several hosts can share one store.
struct fixture
{
    explicit fixture(test::memory_store& shared_store)
        : store(shared_store),
          service(
              shared_store, peers, [] { return std::vector<member_digest>(); },
              table, [this] { return now; }, options())
    {
    }

    static plan_service_options options()
    {
        plan_service_options result;
        result.host_name = "e1";
        result.context = []
        {
            plan_context context;
            context.known_hosts = std::set<std::string>{"t-1"};
            return context;
        };
        return result;
    }

    edit_result edit(const plan_actor& actor, const std::string& name,
                     const std::string& text, std::int64_t version)
    {
        const absl::StatusOr<edit_result> result =
            service.edit(actor, {name, text, version, false});
        INFO(result.status());
        REQUIRE(result.ok());
        return *result;
    }

    error_kind edit_error(const plan_actor& actor, const section_edit& edit)
    {
        const absl::StatusOr<edit_result> result = service.edit(actor, edit);
        REQUIRE_FALSE(result.ok());
        return kind_of(result.status());
    }

    // Writes a valid plan with a break from 11:30 to 12:30 and returns the
    // digest of its document.
    std::string write_sections()
    {
        edit(rota_supervisor, "team.rota", "batch_floor = 0.3\n", 0);
        edit(archive_supervisor, "team.archive", "batch_floor = 0.4\n", 0);
        edit(rota_supervisor, "hosts", "team = \"rota\"\n", 0);
        edit(rota_supervisor, "break",
             "team = \"rota\"\nwindows = [\"11:30-12:30\"]\n", 0);
        return service.draft()->digest;
    }

    test::memory_store& store;
    std::int64_t now = time_in_break;
    rpc_client peers{"key", "e1"};
    plan_table table;
    plan_service service;
};

} // namespace

// Guards against an operator overwriting an edit without having seen it.
TEST_CASE("the second edit of a version returns both texts", "[plan]")
{
    test::memory_store store;
    fixture host(store);
    host.edit(rota_supervisor, "team.rota", "weight = 1\n", 0);
    CHECK(host.edit(rota_supervisor, "team.rota", "weight = 2\n", 1).applied);
    const edit_result late =
        host.edit(rota_member, "team.rota", "weight = 3\n", 1);
    CHECK_FALSE(late.applied);
    CHECK(late.current.text == "weight = 2\n");
    CHECK(late.current.edited_by == "ayu");
    CHECK(late.proposed == "weight = 3\n");
}

TEST_CASE("an edit between reading and writing is a conflict", "[plan]")
{
    test::memory_store store;
    fixture host(store);
    fixture other(store);
    store.before_commit = [&]
    {
        other.edit(rota_supervisor, "team.rota", "weight = 2\n", 0);
    };
    CHECK_FALSE(host.edit(rota_member, "team.rota", "weight = 3\n", 0).applied);
}

TEST_CASE("edits of different sections do not conflict", "[plan]")
{
    test::memory_store store;
    fixture host(store);
    fixture other(store);
    store.before_commit = [&]
    {
        other.edit(archive_supervisor, "team.archive", "weight = 2\n", 0);
    };
    CHECK(host.edit(rota_supervisor, "team.rota", "weight = 3\n", 0).applied);
}

TEST_CASE("edits by other teams, outside the break or malformed are refused",
          "[plan]")
{
    test::memory_store store;
    fixture host(store);
    const std::string digest = host.write_sections();
    CHECK(host.edit_error(archive_supervisor,
                          {"team.rota", "weight = 2", 1, false}) ==
          error_kind::forbidden);
    CHECK(host.edit_error(rota_supervisor, {"hosts", "team = \"archive\"", 1,
                                            false}) == error_kind::forbidden);
    CHECK(host.edit_error(rota_supervisor,
                          {"service.x", "deadline_ms = 5", 0, false}) ==
          error_kind::invalid_argument);
    CHECK(host.edit_error(rota_supervisor,
                          {"team.rota", "[team.archive]", 1, false}) ==
          error_kind::invalid_argument);
    CHECK(host.edit_error(rota_supervisor, {"other", "x = 1", 0, false}) ==
          error_kind::invalid_argument);
    CHECK(host.edit_error(rota_supervisor, {"service.x", "", 0, true}) ==
          error_kind::not_found);
    REQUIRE(host.service.accept(rota_supervisor, {digest, 0}).ok());
    host.now = time_outside_break;
    CHECK(host.edit_error(rota_supervisor, {"team.rota", "weight = 2", 1,
                                            false}) == error_kind::forbidden);
    CHECK(store.commits == 5);
}

// Guards against a section that is removed and added again with a version that
// was already read.
TEST_CASE("section versions continue after a removal", "[plan]")
{
    test::memory_store store;
    fixture host(store);
    host.edit(rota_supervisor, "team.rota", "weight = 1\n", 0);
    REQUIRE(
        host.service.edit(rota_supervisor, {"team.rota", "", 1, true}).ok());
    CHECK(host.service.draft()->document.empty());
    CHECK(host.edit(rota_supervisor, "team.rota", "weight = 2\n", 2)
              .current.version == 3);
}

TEST_CASE("accepting increments the version and writes the history", "[plan]")
{
    test::memory_store store;
    fixture host(store);
    const std::string digest = host.write_sections();
    const absl::StatusOr<accept_result> first =
        host.service.accept(rota_supervisor, {digest, 0});
    REQUIRE(first.ok());
    CHECK(first->is_new);
    CHECK(first->record.plan.version == 1);
    CHECK(host.table.version() == 1);
    host.edit(rota_supervisor, "team.rota", "weight = 5\n", 1);
    CHECK(host.service.diff().value() == "  [team.rota]\n- batch_floor = 0.3\n"
                                         "+ weight = 5\n");
    const std::string next = host.service.draft()->digest;
    REQUIRE(host.service.accept(archive_supervisor, {next, 1}).ok());
    const absl::StatusOr<std::vector<plan_record>> history =
        host.service.history(10);
    REQUIRE(history.ok());
    REQUIRE(history->size() == 2);
    CHECK((*history)[0].plan.accepted_by == "chai");
    CHECK((*history)[1].plan.digest == digest);
}

TEST_CASE("a refused acceptance returns the kind of error", "[plan]")
{
    test::memory_store store;
    fixture host(store);
    const std::string digest = host.write_sections();
    const auto acceptance_error =
        [&](const plan_actor& actor, const std::string& requested_digest)
    {
        const absl::StatusOr<accept_result> result = host.service.accept(
            actor, {requested_digest, host.table.version()});
        REQUIRE_FALSE(result.ok());
        return kind_of(result.status());
    };
    CHECK(acceptance_error(rota_member, digest) == error_kind::forbidden);
    CHECK(acceptance_error(rota_supervisor, "0000") == error_kind::conflict);
    REQUIRE(host.service.accept(rota_supervisor, {digest, 0}).ok());
    host.edit(rota_supervisor, "hosts",
              "team = \"rota\"\nleaving = [\"t-9\"]\n", 1);
    CHECK(host.service.check()->size() == 1);
    CHECK(acceptance_error(rota_supervisor, host.service.draft()->digest) ==
          error_kind::invalid_argument);
    host.edit(rota_supervisor, "hosts",
              "team = \"rota\"\nleaving = [\"t-1\"]\n", 2);
    host.now = time_outside_break;
    CHECK(acceptance_error(rota_supervisor, host.service.draft()->digest) ==
          error_kind::forbidden);
    CHECK(host.table.version() == 1);
}

// Guards against accepting a document other than the one reviewed.
TEST_CASE("an edit concurrent with an acceptance is not accepted", "[plan]")
{
    test::memory_store store;
    fixture host(store);
    fixture other(store);
    const std::string digest = host.write_sections();
    store.before_commit = [&]
    {
        other.edit(rota_supervisor, "team.rota", "weight = 9\n", 1);
    };
    const absl::StatusOr<accept_result> result =
        host.service.accept(rota_supervisor, {digest, 0});
    REQUIRE_FALSE(result.ok());
    CHECK(kind_of(result.status()) == error_kind::conflict);
    CHECK(host.table.version() == 0);
}

TEST_CASE("a commit whose reply was lost is detected as applied", "[plan]")
{
    test::memory_store store;
    fixture host(store);
    const std::string digest = host.write_sections();
    const int before = store.commits;
    SECTION("by repeating the transaction") {}
    SECTION("by reading the row, if the store does not recognize the id")
    {
        store.ignores_known_ids = true;
    }
    store.lost_answers = 1;
    const absl::StatusOr<accept_result> result =
        host.service.accept(rota_supervisor, {digest, 0});
    REQUIRE(result.ok());
    CHECK(result->is_new);
    CHECK(result->record.plan.version == 1);
    store.lost_answers = 1;
    CHECK(host.edit(rota_supervisor, "team.rota", "weight = 4\n", 1).applied);
    CHECK(store.commits == before + 2);
}

// Guards against a second acceptance when a supervisor repeats the request.
TEST_CASE("a repeated acceptance returns the first result on any host",
          "[plan]")
{
    test::memory_store store;
    fixture host(store);
    fixture other(store);
    const std::string digest = host.write_sections();
    store.lost_answers = 100;
    const absl::StatusOr<accept_result> first =
        host.service.accept(rota_supervisor, {digest, 0});
    REQUIRE_FALSE(first.ok());
    CHECK(kind_of(first.status()) == error_kind::deadline_exceeded);
    store.lost_answers = 0;
    other.edit(rota_supervisor, "team.rota", "weight = 4\n", 1);
    REQUIRE(other.service
                .accept(archive_supervisor, {other.service.draft()->digest, 1})
                .ok());
    const absl::StatusOr<accept_result> again =
        other.service.accept(rota_supervisor, {digest, 0});
    REQUIRE(again.ok());
    CHECK_FALSE(again->is_new);
    CHECK(again->record.plan.version == 1);
    CHECK(again->record.plan.accepted_by == "ayu");
    CHECK(other.table.version() == 2);
}

TEST_CASE("the plan in force is available while the store is down", "[plan]")
{
    test::memory_store store;
    fixture host(store);
    const std::string digest = host.write_sections();
    REQUIRE(host.service.accept(rota_supervisor, {digest, 0}).ok());
    store.is_down = true;
    CHECK(host.edit_error(rota_supervisor, {"team.rota", "weight = 2", 1,
                                            false}) == error_kind::unavailable);
    CHECK(host.service.get_plan({1})->digest == digest);
    CHECK_FALSE(host.service.get_plan({2}).ok());
}

TEST_CASE("the owner of the hosts section drains and resumes targets", "[plan]")
{
    test::memory_store store;
    fixture host(store);
    const std::string digest = host.write_sections();
    REQUIRE(host.service.accept(rota_supervisor, {digest, 0}).ok());
    host.now = time_outside_break;
    CHECK(kind_of(host.service.set_drained(archive_supervisor, "t-1", true)
                      .status()) == error_kind::forbidden);
    CHECK(
        kind_of(host.service.set_drained(rota_member, "t-2", true).status()) ==
        error_kind::not_found);
    REQUIRE(host.service.set_drained(rota_member, "t-1", true).ok());
    CHECK(host.service.drains().is_drained("t-1"));
    REQUIRE(host.service.set_drained(rota_member, "t-1", false).ok());
    CHECK_FALSE(host.service.drains().is_drained("t-1"));
}
