#include "target_options.hpp"

#include <fmt/format.h>

#include <cstdlib>
#include <getopt.h>
#include <string_view>

namespace egretspindle::standin
{

namespace
{

constexpr std::string_view usage =
    R"(usage: standin_target --listen IP:PORT [OPTION...]
Runs simulated tasks under leases.
  --name NAME           name in the journal
  --slots N             tasks at a time (8)
  --connections N       task starts and queries in service (60)
  --cpu-cores N         processors (32)
  --memory-mb N         memory (125000)
  --accelerators N      accelerators (0)
  --usage-lag-ms N      age of reported usage (1000)
  --guards on|off       throttle tasks above their reserved cores (on)
  --interference A:B=F  tasks of kind A take 1+F times as long beside tasks of
                        kind B on a fully used target; may be repeated
  --fail-all            every task fails
  --journal FILE        append events as JSON lines
The body of a task describes its work, with these defaults:
{"work_ms":5,"cpu":1.0,"memory_mb":100,"fail":false,"answer_bytes":0}
POST /control accepts {"fail_all":bool,"speed":F}.
)";

bool add_interference(const std::string& text, target_options& result)
{
    const std::size_t colon = text.find(':');
    const std::size_t equals = text.find('=');
    if (colon == std::string::npos || equals == std::string::npos ||
        equals < colon)
    {
        return false;
    }
    result.interference[{text.substr(0, colon),
                         text.substr(colon + 1, equals - colon - 1)}] =
        std::atof(text.c_str() + equals + 1);
    return true;
}

bool apply(int c, const std::string& value, target_options& result)
{
    switch (c)
    {
    case 'l':
        result.listen = value;
        return true;
    case 'n':
        result.name = value;
        return true;
    case 'j':
        result.journal = value;
        return true;
    case 's':
        result.slots = std::atoi(value.c_str());
        return true;
    case 'c':
        result.connections = std::atoi(value.c_str());
        return true;
    case 'p':
        result.capacity.cpu_cores = std::atof(value.c_str());
        return true;
    case 'm':
        result.capacity.memory_mb = std::atof(value.c_str());
        return true;
    case 'a':
        result.capacity.accelerators = std::atoi(value.c_str());
        return true;
    case 'u':
        result.usage_lag_ms = std::atol(value.c_str());
        return true;
    case 'g':
        result.has_guards = value == "on";
        return value == "on" || value == "off";
    case 'i':
        return add_interference(value, result);
    case 'f':
        result.fail_all = true;
        return true;
    default:
        return false;
    }
}

} // namespace

bool parse_options(int argc, char** argv, target_options& result)
{
    const option known[] = {{"listen", required_argument, nullptr, 'l'},
                            {"name", required_argument, nullptr, 'n'},
                            {"journal", required_argument, nullptr, 'j'},
                            {"slots", required_argument, nullptr, 's'},
                            {"connections", required_argument, nullptr, 'c'},
                            {"cpu-cores", required_argument, nullptr, 'p'},
                            {"memory-mb", required_argument, nullptr, 'm'},
                            {"accelerators", required_argument, nullptr, 'a'},
                            {"usage-lag-ms", required_argument, nullptr, 'u'},
                            {"guards", required_argument, nullptr, 'g'},
                            {"interference", required_argument, nullptr, 'i'},
                            {"fail-all", no_argument, nullptr, 'f'},
                            {nullptr, 0, nullptr, 0}};
    int c = 0;
    bool is_valid = true;
    while ((c = getopt_long(argc, argv, "", known, nullptr)) != -1)
    {
        is_valid =
            apply(c, optarg == nullptr ? "" : optarg, result) && is_valid;
    }
    if (!is_valid || result.listen.empty() || optind != argc)
    {
        fmt::print(stderr, "{}", usage);
        return false;
    }
    return true;
}

} // namespace egretspindle::standin
