// Entry host process of egretspindle.

#include "egretspindle/logging/log.hpp"
#include "egretspindle/node/node.hpp"
#include "egretspindle/settings/settings.hpp"

#include <fmt/format.h>

#include <csignal>
#include <cstdio>
#include <getopt.h>
#include <pthread.h>
#include <string>

namespace
{

constexpr int exit_ok = 0;
constexpr int exit_failure = 1;
constexpr int exit_usage = 2;

constexpr const char* usage =
    "usage: egretspindle --settings FILE [--check]\n"
    "\n"
    "Runs an entry host of the scheduler until SIGTERM or SIGINT.\n"
    "\n"
    "  -s, --settings FILE  settings in TOML\n"
    "  -c, --check          check the settings and exit\n"
    "  -h, --help           show this text\n"
    "  -V, --version        show the version\n";

struct command_line
{
    std::string settings_file;
    bool check_only = false;
};

/// Parses the options.
///
/// \returns whether to go on; otherwise `exit_code` is set
bool parse(int argc, char** argv, command_line& options, int& exit_code)
{
    const option long_options[] = {
        {"settings", required_argument, nullptr, 's'},
        {"check", no_argument, nullptr, 'c'},
        {"help", no_argument, nullptr, 'h'},
        {"version", no_argument, nullptr, 'V'},
        {nullptr, 0, nullptr, 0},
    };
    int c = 0;
    while ((c = getopt_long(argc, argv, "s:chV", long_options, nullptr)) != -1)
    {
        switch (c)
        {
        case 's':
            options.settings_file = optarg;
            break;
        case 'c':
            options.check_only = true;
            break;
        case 'h':
            fmt::print("{}", usage);
            exit_code = exit_ok;
            return false;
        case 'V':
            fmt::print("egretspindle {}\n", EGRETSPINDLE_VERSION);
            exit_code = exit_ok;
            return false;
        default:
            fmt::print(stderr, "{}", usage);
            exit_code = exit_usage;
            return false;
        }
    }
    if (options.settings_file.empty() || optind != argc)
    {
        fmt::print(stderr, "a settings file is required\n{}", usage);
        exit_code = exit_usage;
        return false;
    }
    return true;
}

int run(const egretspindle::settings& config)
{
    // Blocked before any thread starts, so that only sigwait takes them.
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    signal(SIGPIPE, SIG_IGN);

    absl::StatusOr<std::unique_ptr<egretspindle::node>> process =
        egretspindle::node::create(config);
    if (!process.ok())
    {
        fmt::print(stderr, "{}\n", std::string(process.status().message()));
        return exit_failure;
    }
    const absl::Status status = (*process)->start();
    if (!status.ok())
    {
        fmt::print(stderr, "{}\n", std::string(status.message()));
        return exit_failure;
    }
    int number = 0;
    sigwait(&signals, &number);
    (*process)->shutdown();
    return exit_ok;
}

} // namespace

int main(int argc, char** argv)
{
    command_line options;
    int exit_code = exit_ok;
    if (!parse(argc, argv, options, exit_code))
    {
        return exit_code;
    }
    const absl::StatusOr<egretspindle::settings> config =
        egretspindle::load_settings(options.settings_file);
    if (!config.ok())
    {
        fmt::print(stderr, "{}\n", std::string(config.status().message()));
        return exit_failure;
    }
    if (options.check_only)
    {
        fmt::print("{}: settings are valid\n", options.settings_file);
        return exit_ok;
    }
    return run(*config);
}
