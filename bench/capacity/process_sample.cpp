#include "process_sample.hpp"

#include "support/json_http.hpp"

#include <fmt/format.h>

#include <fstream>
#include <sstream>
#include <string>
#include <unistd.h>

namespace egretspindle::bench
{

namespace
{

std::string content_of(const std::string& path)
{
    std::ifstream in(path);
    std::ostringstream out;
    out << in.rdbuf();
    return out.str();
}

// Returns the number that follows `name`, or 0.
double number_after(const std::string& text, const std::string& name)
{
    const std::size_t at = text.find(name);
    return at == std::string::npos
               ? 0
               : std::strtod(text.c_str() + at + name.size(), nullptr);
}

double cpu_seconds_of(pid_t pid)
{
    const std::string text = content_of(fmt::format("/proc/{}/stat", pid));
    // The second field is the name in parentheses, which may hold spaces.
    std::istringstream in(text.substr(text.rfind(')') + 1));
    std::string field;
    double ticks = 0;
    constexpr int user_time = 12; // fields 14 and 15 of proc(5)
    constexpr int system_time = 13;
    for (int n = 1; in >> field && n <= system_time; ++n)
    {
        ticks += n >= user_time ? std::strtod(field.c_str(), nullptr) : 0;
    }
    return ticks / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

} // namespace

process_sample sample_process(pid_t pid, const std::string& address)
{
    process_sample result;
    result.cpu_seconds = cpu_seconds_of(pid);
    result.resident_mb =
        number_after(content_of(fmt::format("/proc/{}/status", pid)),
                     "VmRSS:") /
        1024;
    const std::string io = content_of(fmt::format("/proc/{}/io", pid));
    result.io_bytes = number_after(io, "rchar:") + number_after(io, "wchar:");
    const absl::StatusOr<http_response> metrics =
        test::send_http(address, "GET", "/metrics");
    if (metrics.ok())
    {
        result.peer_bytes =
            number_after(metrics->body, "\negretspindle_peer_bytes");
    }
    return result;
}

} // namespace egretspindle::bench
