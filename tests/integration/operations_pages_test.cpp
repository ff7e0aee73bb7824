#include "support/child_process.hpp"
#include "support/executions.hpp"
#include "support/port_reservation.hpp"
#include "support/temporary_directory.hpp"

#include <catch2/catch.hpp>

#include <csignal>
#include <filesystem>
#include <string>

using namespace egretspindle::test;

namespace
{

namespace fs = std::filesystem;

/// Copies the documentation pages and examples, and replaces the ports in them
/// by free ports that the kernel chose.
void copy_with_free_ports(const fs::path& source, const fs::path& destination,
                          port_reservation& ports)
{
    std::vector<std::pair<std::string, std::string>> addresses;
    for (const char* port :
         {"8080", "8081", "8082", "8091", "9001", "9002", "9101", "9102"})
    {
        addresses.emplace_back("127.0.0.1:" + std::string(port),
                               ports.reserve_address());
    }
    std::vector<fs::path> files{"README.md", "docs/OPERATIONS.md"};
    for (const auto& entry :
         fs::recursive_directory_iterator(source / "examples"))
    {
        if (entry.is_regular_file())
        {
            files.push_back(fs::relative(entry.path(), source));
        }
    }
    for (const fs::path& file : files)
    {
        std::string text = read_file((source / file).string());
        for (const auto& [from, to] : addresses)
        {
            for (std::size_t at = text.find(from); at != std::string::npos;
                 at = text.find(from, at + to.size()))
            {
                text.replace(at, from.size(), to);
            }
        }
        fs::create_directories((destination / file).parent_path());
        write_file((destination / file).string(), text);
    }
}

} // namespace

// Guards against documentation pages whose commands do not work.
TEST_CASE("the commands of the pages run from a clean start to a drain",
          "[operations_pages]")
{
    const fs::path bin(EGRETSPINDLE_BIN_DIR);
    const fs::path source = bin / "../..";
    REQUIRE(fs::exists(source / "docs/OPERATIONS.md"));
    const temporary_directory directory;
    port_reservation ports;
    copy_with_free_ports(source, directory.path(), ports);
    fs::create_directory_symlink(fs::canonical(bin / ".."),
                                 directory.path() + "/build");
    const std::string log = directory.file("pages.log");
    child_process script("../../tests/docs/run_pages",
                         {directory.path(), "docs/OPERATIONS.md", "README.md"},
                         log);
    const std::optional<int> status = script.wait_exit(std::chrono::minutes(3));
    if (!status)
    {
        script.signal(SIGTERM);
        (void)script.wait_exit(std::chrono::seconds(30));
    }
    const std::string output = read_file(log);
    INFO(output);
    CHECK(status == 0);
    CHECK(output.find("accepted as version 1 by aminah") != std::string::npos);
    CHECK(output.find("drained: t-1 by aminah") != std::string::npos);
    CHECK(output.find("\"outcome\":\"done\"") != std::string::npos);
    // The targets' own records: the request ran once, and not on the target
    // that was drained at that time.
    std::vector<execution> runs;
    for (const char* name : {"t-1.journal", "t-2.journal"})
    {
        for (const execution& run :
             executions_of(read_target_journal(directory.file(name))))
        {
            runs.push_back(run);
        }
    }
    REQUIRE(runs.size() == 1);
    CHECK(runs[0].target == "t-2");
}
