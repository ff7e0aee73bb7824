// Stand-in for the users' platform: store, configuration and targets. For
// tests only.

#include "egretspindle/core/endpoint.hpp"

#include "common/serve.hpp"
#include "platform.hpp"

#include <fmt/format.h>

#include <cstdlib>
#include <getopt.h>
#include <sstream>
#include <string>
#include <vector>

namespace
{

using namespace egretspindle;
using namespace egretspindle::standin;

constexpr std::string_view usage =
    R"(usage: standin_platform --control IP:PORT [OPTION...]
  --store NAME=IP:PORT   address of the store for one caller; repeatable
  --target NAME,LISTEN,ADDRESS,DATA_CENTER,RACK
                         target that listens on LISTEN and is listed with
                         ADDRESS; repeatable
  --journal FILE         one line an event of the targets
  --longest-lease-ms N   (default 10000)
  --max-attempts N       of the queues (default 100000)
  --seed N               clocks and delays of the targets (default 1)
POST /control accepts
  {"what":"store","names":[...],"action":MODE,"delay_ms":N}
      MODE: pass, unavailable (503), overloaded (429), slow, silent,
      lose_answers (written, no response), late_writes (written after delay_ms,
      no response)
  {"what":"target","names":[...],"action":ACTION}
      ACTION: crash, boot (same id), boot_renamed, drain, unhealthy,
      delay_orders (no answer, executed up to 12 s later), known_owner_only
      (no answer to tokens above the highest one seen), fail_runs, slow, pass.
      Connections to a crashed target stay silent; reset them in a proxy.
      A boot with the same id executes the orders that were received meanwhile.
  {"what":"config","version":N,"second_queue":BOOL}
  {"what":"drop_history"}
Without names a command is for all.
The spec of a job has `CPU:MS` or `CPU:MS:FAILURES` for each step, separated by
blanks: the work of a task, and how many of its first runs fail at their end.
)";

// Splits a text at a character.
std::vector<std::string> split(const std::string& text, char at)
{
    std::vector<std::string> parts;
    std::istringstream in(text);
    for (std::string part; std::getline(in, part, at);)
    {
        parts.push_back(part);
    }
    return parts;
}

bool add_store(platform_options& result, const std::string& text)
{
    const std::vector<std::string> parts = split(text, '=');
    if (parts.size() != 2)
    {
        return false;
    }
    result.stores.emplace_back(parts[0], parts[1]);
    return true;
}

bool add_target(platform_options& result, const std::string& text)
{
    const std::vector<std::string> parts = split(text, ',');
    if (parts.size() != 5)
    {
        return false;
    }
    result.targets.push_back(
        {parts[0], parts[1], parts[2], parts[3], parts[4]});
    return true;
}

bool parse(int argc, char** argv, platform_options& result)
{
    const option known[] = {
        {"control", required_argument, nullptr, 'c'},
        {"store", required_argument, nullptr, 's'},
        {"target", required_argument, nullptr, 't'},
        {"journal", required_argument, nullptr, 'j'},
        {"longest-lease-ms", required_argument, nullptr, 'l'},
        {"max-attempts", required_argument, nullptr, 'a'},
        {"seed", required_argument, nullptr, 'r'},
        {nullptr, 0, nullptr, 0}};
    int c = 0;
    bool is_valid = true;
    while ((c = getopt_long(argc, argv, "", known, nullptr)) != -1)
    {
        switch (c)
        {
        case 'c':
            result.control = optarg;
            break;
        case 's':
            is_valid &= add_store(result, optarg);
            break;
        case 't':
            is_valid &= add_target(result, optarg);
            break;
        case 'j':
            result.journal = optarg;
            break;
        case 'l':
            result.max_lease_ms = std::atol(optarg);
            break;
        case 'a':
            result.max_attempts = std::atol(optarg);
            break;
        case 'r':
            result.seed = static_cast<unsigned>(std::atol(optarg));
            break;
        default:
            return false;
        }
    }
    unsigned n = 0;
    for (simulated_target_options& item : result.targets)
    {
        item.max_lease_ms = result.max_lease_ms;
        item.seed = result.seed * 1'000 + ++n;
    }
    return is_valid && !result.control.empty() && optind == argc;
}

} // namespace

int main(int argc, char** argv)
{
    platform_options options;
    if (!parse(argc, argv, options))
    {
        fmt::print(stderr, "{}", usage);
        return 2;
    }
    block_stop_signals();
    platform stand_in(options);
    const absl::Status status = stand_in.start();
    if (!status.ok())
    {
        fmt::print(stderr, "standin_platform: {}\n", status.ToString());
        return 3;
    }
    return serve("standin_platform", options.control,
                 [&](const http_request& request)
                 { return stand_in.control(request); });
}
