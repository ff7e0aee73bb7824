#include "admin_caller.hpp"
#include "support/child_process.hpp"
#include "support/port_reservation.hpp"
#include "support/temporary_directory.hpp"
#include "support/wait_until.hpp"

#include <catch2/catch.hpp>

#include <sys/wait.h>

using namespace egretspindle;
using namespace egretspindle::test;

namespace
{

/// Runs egretctl as one operator.
struct egretctl_runner
{
    explicit egretctl_runner(std::vector<std::string> server_addresses)
        : servers(std::move(server_addresses))
    {
        write_file(directory.file("token"), "token of ayu for tests\n");
        write_file(directory.file("section"), "weight = 4\n");
    }

    /// Returns the exit code; the output is in `output`.
    int run(std::vector<std::string> arguments, const std::string& token)
    {
        for (const std::string& server : servers)
        {
            arguments.insert(arguments.end(), {"--server", server});
        }
        arguments.insert(arguments.end(),
                         {"--token-file", directory.file(token)});
        const std::string log = directory.file("log");
        write_file(log, "");
        child_process process("egretctl", arguments, log);
        const std::optional<int> status =
            process.wait_exit(std::chrono::seconds(60));
        output = read_file(log);
        return status && WIFEXITED(*status) ? WEXITSTATUS(*status) : -1;
    }

    int run(std::vector<std::string> arguments)
    {
        return run(std::move(arguments), "token");
    }

    temporary_directory directory;
    std::vector<std::string> servers;
    std::string output;
};

} // namespace

// Guards against failures that scripts of operators take for a success.
TEST_CASE("the exit code of egretctl identifies the result", "[operations_ctl]")
{
    const std::unique_ptr<cluster> nodes =
        make_cluster()
            .with_more_settings(operator_settings_text)
            .with_plan(plan_with_break())
            .build();
    port_reservation ports;
    const std::string unused_address = ports.reserve_address();
    // The first server does not answer, so every command needs the second.
    egretctl_runner runner({unused_address, nodes->host("a1").admin});
    const std::string file = runner.directory.file("section");
    const std::vector<std::string> edit{"plan", "edit",   "team.rota", "--base",
                                        "0",    "--file", file};
    CHECK(runner.run(edit) == 0);
    CHECK(runner.run({"plan", "show", "team.rota"}) == 0);
    CHECK(runner.output.find("weight = 4") != std::string::npos);
    write_file(runner.directory.file("section"), "weight = 5\n");
    CHECK(runner.run(edit) == 4);
    CHECK(runner.output.find("weight = 4") != std::string::npos);
    CHECK(runner.output.find("weight = 5") != std::string::npos);
    CHECK(runner.run({"plan", "edit", "team.archive", "--base", "0", "--file",
                      file}) == 3);
    write_file(runner.directory.file("wrong"), "token of nobody\n");
    CHECK(runner.run({"plan", "show"}, "wrong") == 3);
    CHECK(runner.run({"plan", "check"}) == 7);
    CHECK(runner.run({"drain", "t-unknown"}) == 7);
    CHECK(runner.run({"plan", "history", "--json"}) == 0);
    CHECK(runner.output.find("\"versions\":[") != std::string::npos);
    write_file(file, "# \xff\n");
    CHECK(runner.run(edit) == 7);
    CHECK(runner.output.find("UTF-8") != std::string::npos);
    CHECK(runner.run({"plan", "shw"}) == 2);
    CHECK(runner.run({"explain"}) == 2);
    CHECK(egretctl_runner({unused_address}).run({"status"}) == 5);
    // A host that joined last may not have seen all others yet.
    CHECK(wait_until([&] { return runner.run({"status"}) == 0; }));
    nodes->host("a3").kill();
    CHECK(wait_until([&] { return runner.run({"hosts"}) == 8; }));
    CHECK(runner.output.find("a3") != std::string::npos);
}
