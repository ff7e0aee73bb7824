// Command-line client for operators.

#include "commands.hpp"
#include "exit_code.hpp"

#include <fmt/format.h>

#include <map>
#include <string>

namespace
{

using namespace egretspindle::ctl;
using command_function = int (*)(admin_client&, const options&);

const std::map<std::string, command_function> plan_commands{
    {"show", plan_show},   {"edit", plan_edit},     {"diff", plan_diff},
    {"check", plan_check}, {"accept", plan_accept}, {"history", plan_history},
};

const std::map<std::string, command_function> commands{
    {"status", show_status},   {"hosts", show_hosts},
    {"targets", show_targets}, {"requests", show_requests},
    {"explain", explain},      {"drain", drain},
    {"resume", resume},
};

command_function find_command(const options& opts)
{
    if (opts.arguments.empty())
    {
        return nullptr;
    }
    const bool is_plan =
        opts.arguments[0] == "plan" && opts.arguments.size() > 1;
    const auto& table = is_plan ? plan_commands : commands;
    const auto it = table.find(opts.arguments[is_plan ? 1 : 0]);
    return it == table.end() ? nullptr : it->second;
}

int run(int argc, char** argv)
{
    int exit_code = exit_done;
    const std::optional<options> opts = parse_options(argc, argv, exit_code);
    if (!opts)
    {
        return exit_code;
    }
    const command_function command = find_command(*opts);
    if (command == nullptr)
    {
        return report_usage(opts->arguments.empty() ? "a command is required"
                                                    : "unknown command");
    }
    absl::StatusOr<admin_client> client =
        admin_client::create(opts->servers, opts->token_file);
    if (!client.ok())
    {
        return report_usage(std::string(client.status().message()));
    }
    return command(*client, *opts);
}

} // namespace

int main(int argc, char** argv)
{
    try
    {
        return run(argc, argv);
    }
    catch (const std::exception& ex)
    {
        fmt::print(stderr, "egretctl: {}\n", ex.what());
        return exit_failure;
    }
}
