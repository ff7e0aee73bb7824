#include "options.hpp"

#include "exit_code.hpp"

#include <fmt/format.h>

#include <charconv>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <getopt.h>

namespace egretspindle::ctl
{

namespace
{

constexpr const char* usage =
    R"(usage: egretctl [OPTION]... COMMAND [ARGUMENT]...

Operates an egretspindle cluster through any of its entry hosts.

Plan, changed during the break only:
  plan show [SECTION]   sections with owner, version and text
  plan edit SECTION     replace a section of your team; needs --base and
                        --file, or --remove
  plan diff             changes since the accepted plan
  plan check            errors of the document that the sections make up
  plan accept           accept the whole document (supervisors)
  plan history          accepted versions, latest first

Operation:
  status                data centres, hosts and the plan in force on each
  hosts                 hosts
  targets               targets with their load
  requests              open requests at the answering host
  explain TEAM/ID       why a request is where it is
  drain TARGET          give a target no new work
  resume TARGET         end a drain

Options:
  -s, --server IP:PORT   operators' address of an entry host; repeat it to
                         name others, which are tried on failure
                         (default: EGRETCTL_SERVERS, separated by commas)
  -t, --token-file FILE  file with your token
                         (default: EGRETCTL_TOKEN_FILE)
  -f, --file FILE        text of the section; - for standard input
  -b, --base VERSION     version that you read; 0 for a new section
  -d, --digest DIGEST    digest of the document that you reviewed
  -n, --limit N          lines of a listing (default: 20)
      --remove           remove the section
  -y, --yes              do not ask before what cannot be undone
  -j, --json             print JSON
  -h, --help             show this text
  -V, --version          show the version

Exit codes: 0 done, 1 failure, 2 usage, 3 denied, 4 conflict, 5 no answer and
nothing changed, 6 not known whether it was changed (repeat it), 7 invalid or
not found, 8 some hosts did not answer.
)";

constexpr int remove_option = 256;

bool parse_number(const char* text, std::int64_t& value)
{
    const char* end = text + std::strlen(text);
    const std::from_chars_result result = std::from_chars(text, end, value);
    return result.ec == std::errc() && result.ptr == end && value >= 0;
}

void read_environment(options& parsed)
{
    const char* token_file = std::getenv("EGRETCTL_TOKEN_FILE");
    if (parsed.token_file.empty() && token_file != nullptr)
    {
        parsed.token_file = token_file;
    }
    const char* servers = std::getenv("EGRETCTL_SERVERS");
    if (!parsed.servers.empty() || servers == nullptr)
    {
        return;
    }
    std::string text = servers;
    while (!text.empty())
    {
        const std::size_t comma = text.find(',');
        parsed.servers.push_back(text.substr(0, comma));
        text = comma == std::string::npos ? "" : text.substr(comma + 1);
    }
}

/// Applies one option.
///
/// \returns whether its argument is valid
bool apply(int c, options& parsed)
{
    std::int64_t number = 0;
    switch (c)
    {
    case 's':
        parsed.servers.emplace_back(optarg);
        return true;
    case 't':
        parsed.token_file = optarg;
        return true;
    case 'f':
        parsed.file = optarg;
        return true;
    case 'b':
        return parse_number(optarg, parsed.base);
    case 'd':
        parsed.digest = optarg;
        return true;
    case 'n':
        if (!parse_number(optarg, number) || number < 1 || number > 1000)
        {
            return false;
        }
        parsed.limit = static_cast<int>(number);
        return true;
    case 'y':
        parsed.is_confirmed = true;
        return true;
    case 'j':
        parsed.is_json = true;
        return true;
    case remove_option:
        parsed.is_removal = true;
        return true;
    default:
        return false;
    }
}

} // namespace

std::optional<options> parse_options(int argc, char** argv, int& exit_code)
{
    const option long_options[] = {
        {"server", required_argument, nullptr, 's'},
        {"token-file", required_argument, nullptr, 't'},
        {"file", required_argument, nullptr, 'f'},
        {"base", required_argument, nullptr, 'b'},
        {"digest", required_argument, nullptr, 'd'},
        {"limit", required_argument, nullptr, 'n'},
        {"remove", no_argument, nullptr, remove_option},
        {"yes", no_argument, nullptr, 'y'},
        {"json", no_argument, nullptr, 'j'},
        {"help", no_argument, nullptr, 'h'},
        {"version", no_argument, nullptr, 'V'},
        {nullptr, 0, nullptr, 0},
    };
    options parsed;
    exit_code = exit_done;
    int c = 0;
    while ((c = getopt_long(argc, argv, "s:t:f:b:d:n:yjhV", long_options,
                            nullptr)) != -1)
    {
        if (c == 'h')
        {
            fmt::print("{}", usage);
            return std::nullopt;
        }
        if (c == 'V')
        {
            fmt::print("egretctl {}\n", EGRETSPINDLE_VERSION);
            return std::nullopt;
        }
        if (!apply(c, parsed))
        {
            exit_code = report_usage(
                c == '?' ? "" : fmt::format("invalid value '{}'", optarg));
            return std::nullopt;
        }
    }
    parsed.arguments.assign(argv + optind, argv + argc);
    read_environment(parsed);
    return parsed;
}

int report_usage(const std::string& error)
{
    if (!error.empty())
    {
        fmt::print(stderr, "egretctl: {}\n", error);
    }
    fmt::print(stderr, "egretctl: try `egretctl --help`\n");
    return exit_usage;
}

} // namespace egretspindle::ctl
