// Entry host process of egretspindle.

#include "egretspindle/logging/log.hpp"
#include "egretspindle/node/node.hpp"
#include "egretspindle/settings/scheduler_settings.hpp"
#include "egretspindle/settings/settings.hpp"

#include "platform_node.hpp"

#include <fmt/format.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <getopt.h>
#include <iterator>
#include <pthread.h>
#include <string>

namespace
{

constexpr int exit_ok = 0;
constexpr int exit_failure = 1;
constexpr int exit_usage = 2;

constexpr const char* settings_variable = "EGRETSPINDLE_CONFIG";

constexpr const char* usage =
    "usage: egretspindle [--settings FILE] [--check]\n"
    "\n"
    "Runs an entry host of the scheduler until SIGTERM or SIGINT.\n"
    "\n"
    "  -s, --settings FILE  settings in TOML; default: the file that the\n"
    "                       variable EGRETSPINDLE_CONFIG names\n"
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
/// \returns whether to continue; otherwise `exit_code` is set
bool parse_command_line(int argc, char** argv, command_line& options,
                        int& exit_code)
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
    const char* const file = std::getenv(settings_variable);
    if (options.settings_file.empty() && file != nullptr)
    {
        options.settings_file = file;
    }
    if (options.settings_file.empty() || optind != argc)
    {
        fmt::print(stderr, "a settings file is required\n{}", usage);
        exit_code = exit_usage;
        return false;
    }
    return true;
}

// Called before any thread starts, so that only sigwait receives the signals.
sigset_t block_signals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    signal(SIGPIPE, SIG_IGN);
    return signals;
}

int run_entry_host(const egretspindle::settings& config)
{
    const sigset_t signals = block_signals();
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

std::string read_file(const std::string& path)
{
    std::ifstream in(path);
    return {std::istreambuf_iterator<char>(in), {}};
}

// Blocks SIGHUP, so that a reload request that arrives while the settings are
// parsed does not end the process.
void block_reload_signal()
{
    sigset_t reload;
    sigemptyset(&reload);
    sigaddset(&reload, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &reload, nullptr);
}

int run_scheduler(const std::string& text, const command_line& options)
{
    const absl::StatusOr<egretspindle::scheduler_settings> config =
        egretspindle::parse_scheduler_settings(text);
    if (!config.ok())
    {
        fmt::print(stderr, "{}: {}\n", options.settings_file,
                   std::string(config.status().message()));
        return exit_failure;
    }
    if (options.check_only)
    {
        fmt::print("{}: settings are valid\n", options.settings_file);
        return exit_ok;
    }
    block_signals();
    return egretspindle::platform::run_platform_node(*config,
                                                     options.settings_file);
}

} // namespace

int main(int argc, char** argv)
{
    block_reload_signal();
    command_line options;
    int exit_code = exit_ok;
    if (!parse_command_line(argc, argv, options, exit_code))
    {
        return exit_code;
    }
    const std::string text = read_file(options.settings_file);
    if (egretspindle::has_scheduler_settings(text))
    {
        return run_scheduler(text, options);
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
    return run_entry_host(*config);
}
