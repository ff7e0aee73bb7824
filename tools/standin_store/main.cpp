// Stand-in for the platform's table and object store. For tests only.

#include "common/serve.hpp"
#include "store_api.hpp"

#include <fmt/format.h>

#include <cstdlib>
#include <getopt.h>

namespace
{

using namespace egretspindle;
using namespace egretspindle::standin;

constexpr std::string_view usage =
    R"(usage: standin_store --listen IP:PORT [OPTION...]
Serves transactions, rows, scans and objects from memory.
  --max-writes-per-second N   429 above this rate (default: no limit)
  --max-reads-per-second N    429 above this rate (default: no limit)
  --journal FILE              append each committed write as a JSON line
POST /control accepts {"outage":bool,"delay_ms":N,"lose_answers":N,
"lose_answer_probability":P,"seed":N}; GET /stats returns counts.
)";

struct options
{
    std::string listen;
    std::string journal;
    double max_writes_per_second = 0;
    double max_reads_per_second = 0;
};

bool parse(int argc, char** argv, options& result)
{
    const option known[] = {
        {"listen", required_argument, nullptr, 'l'},
        {"journal", required_argument, nullptr, 'j'},
        {"max-writes-per-second", required_argument, nullptr, 'w'},
        {"max-reads-per-second", required_argument, nullptr, 'r'},
        {nullptr, 0, nullptr, 0}};
    int c = 0;
    while ((c = getopt_long(argc, argv, "", known, nullptr)) != -1)
    {
        switch (c)
        {
        case 'l':
            result.listen = optarg;
            break;
        case 'j':
            result.journal = optarg;
            break;
        case 'w':
            result.max_writes_per_second = std::atof(optarg);
            break;
        case 'r':
            result.max_reads_per_second = std::atof(optarg);
            break;
        default:
            return false;
        }
    }
    return !result.listen.empty() && optind == argc;
}

} // namespace

int main(int argc, char** argv)
{
    options settings;
    if (!parse(argc, argv, settings))
    {
        fmt::print(stderr, "{}", usage);
        return 2;
    }
    block_stop_signals();
    store_api api(settings.journal, settings.max_writes_per_second,
                  settings.max_reads_per_second);
    return serve("standin_store", settings.listen,
                 [&](const http_request& request)
                 { return api.handle(request); });
}
