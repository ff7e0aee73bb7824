#include "egretspindle/adapters/target_client.hpp"
#include "egretspindle/core/clock.hpp"
#include "egretspindle/core/error.hpp"

#include "common/work.hpp"
#include "support/child_process.hpp"
#include "support/executions.hpp"
#include "support/json_http.hpp"
#include "support/port_reservation.hpp"
#include "support/temporary_directory.hpp"
#include "support/wait_until.hpp"

#include <catch2/catch.hpp>

#include <csignal>
#include <sys/wait.h>

using namespace egretspindle;
using namespace egretspindle::test;

namespace
{

struct running_target
{
    temporary_directory directory;
    port_reservation ports;
    std::string address = ports.reserve_address();
    child_process process;
    std::unique_ptr<target_client> client = *make_http_target_client(address);

    explicit running_target(std::vector<std::string> arguments = {})
        : process("standin_target", with_listen(std::move(arguments)),
                  directory.file("log"))
    {
        REQUIRE(wait_until([&] { return client->state().ok(); }));
    }

    std::vector<std::string> with_listen(std::vector<std::string> arguments)
    {
        arguments.insert(arguments.end(), {"--listen", address, "--journal",
                                           directory.file("journal")});
        return arguments;
    }

    start_command command(const std::string& key, int work_ms,
                          std::int64_t lease_ms = 6000)
    {
        start_command result;
        result.epoch = 1;
        result.key = key;
        result.reserve = {1, 100, 0};
        result.body = "{\"work_ms\":" + std::to_string(work_ms) + "}";
        result.lease_until_ms = client->state()->clock_ms + lease_ms;
        result.wait_ms = 0;
        return result;
    }

    std::vector<execution> executions()
    {
        return executions_of(read_target_journal(directory.file("journal")));
    }

    error_kind start_error(const start_command& value)
    {
        return kind_of(client->start(value).status());
    }
};

} // namespace

// Guards against a target that starts an attempt twice, or after it was
// stopped, too late, fenced off or full.
TEST_CASE("an attempt starts at most once, and only when allowed", "[standins]")
{
    running_target target({"--slots", "2"});
    start_command task = target.command("t/1", 20);
    task.wait_ms = 2000;
    const absl::StatusOr<task_state> first = target.client->start(task);
    REQUIRE(first.ok());
    CHECK(first->answer == standin::answer_of("t/1", task.body));
    CHECK(target.client->start(task)->answer == first->answer);
    REQUIRE(target.client->acknowledge({"t/1", 1}).ok());
    (void)target.client->start(task);
    CHECK(target.executions().size() == 1);

    CHECK(target.client->stop({1, 0, "t/2", 1, false})->error ==
          "never_started");
    CHECK(target.start_error(target.command("t/2", 20)) ==
          error_kind::conflict);
    start_command late = target.command("t/3", 20);
    late.start_before_ms = target.client->state()->clock_ms - 1;
    CHECK(target.start_error(late) == error_kind::conflict);
    start_command old = target.command("t/4", 20);
    old.epoch = 0;
    CHECK(target.start_error(old) == error_kind::stale_epoch);
    start_command big = target.command("t/5", 20);
    big.reserve.cpu_cores = 33;
    CHECK(target.start_error(big) == error_kind::overloaded);
    CHECK(target.executions().size() == 1);
}

// Guards against a task that executes without a lease: after a pause it would
// overlap the next attempt on another target.
TEST_CASE("a task paused past its lease does no further work", "[standins]")
{
    running_target target;
    REQUIRE(target.client->start(target.command("t/1", 60'000, 400)).ok());
    target.process.signal(SIGSTOP);
    // Threads on other processors go on for a moment after the signal is sent.
    int status = 0;
    REQUIRE(::waitpid(target.process.pid(), &status, WUNTRACED) ==
            target.process.pid());
    REQUIRE(WIFSTOPPED(status));
    const std::int64_t paused_ms = unix_ms();
    CHECK(wait_until([&] { return unix_ms() - paused_ms > 800; }));
    target.process.signal(SIGCONT);
    CHECK(wait_until(
        [&] { return target.client->task("t/1", 1, {})->state == "stopped"; }));
    const std::vector<execution> runs = target.executions();
    REQUIRE(runs.size() == 1);
    CHECK(runs[0].ended == "lease_lapse");
    CHECK(runs[0].last_tick_ms <= paused_ms);
}

// Guards against a claim that takes a target from a live owner.
TEST_CASE("a claim is granted only after the owner's lease", "[standins]")
{
    running_target target;
    const std::int64_t until_ms = target.client->state()->clock_ms + 500;
    REQUIRE(target.client->renew({3, 0, "a1", until_ms}).ok());
    CHECK(kind_of(target.client->claim({3, "a2"}).status()) ==
          error_kind::conflict);
    CHECK(wait_until([&] { return target.client->claim({3, "a2"}).ok(); }));
    CHECK(target.client->state()->clock_ms >= until_ms);
    CHECK(target.client->state()->term == 1);
    CHECK(kind_of(target.client->renew({3, 0, "a1", until_ms}).status()) ==
          error_kind::stale_epoch);
}

// Guards against lost or repeated work of a task that is moved.
TEST_CASE("a stopped task resumes from its checkpoint", "[standins]")
{
    running_target target;
    REQUIRE(target.client->start(target.command("t/1", 600)).ok());
    CHECK(wait_until(
        [&] { return target.client->task("t/1", 1, {})->run_ms > 200; }));
    const auto stopped = target.client->stop({1, 0, "t/1", 1, true});
    REQUIRE(stopped->state == "stopped");
    start_command next = target.command("t/1", 600);
    next.attempt = 2;
    next.checkpoint = stopped->checkpoint;
    next.wait_ms = 3000;
    CHECK(target.client->start(next)->ok);
    const std::vector<execution> runs = target.executions();
    REQUIRE(runs.size() == 2);
    CHECK(runs[1].resumed_ms == Approx(runs[0].done_ms).margin(0.01));
}

// Guards against tasks on one target that do not slow each other, so that a
// policy that ignores interference would look as good as one that does not.
TEST_CASE("tasks on one target slow each other by their kinds", "[standins]")
{
    running_target target(
        {"--cpu-cores", "2", "--interference", "draft:index=9"});
    start_command neighbour = target.command("t/1", 60'000);
    neighbour.kind = "index";
    REQUIRE(target.client->start(neighbour).ok());
    start_command task = target.command("t/2", 20);
    task.kind = "draft";
    task.wait_ms = 5000;
    const absl::StatusOr<task_state> ended = target.client->start(task);
    CHECK(ended->ok);
    // The target is fully used, so the slowdown is the factor 1 + 9.
    CHECK(ended->run_ms >= 190);
}
