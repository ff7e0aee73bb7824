#include "egretspindle/logging/log.hpp"

#include "egretspindle/core/clock.hpp"
#include "egretspindle/logging/decision.hpp"
#include "egretspindle/logging/log_line.hpp"

#include <array>
#include <atomic>
#include <cerrno>
#include <climits>
#include <mutex>
#include <poll.h>
#include <unistd.h>
#include <vector>

namespace egretspindle
{

namespace
{

// A shorter secret would match parts of ordinary words.
constexpr std::size_t shortest_secret = 8;

struct log_state
{
    std::atomic<log_format> format{log_format::logfmt};
    std::atomic<log_level> lowest{log_level::info};
    std::atomic<std::uint64_t> dropped{0}; // lines that the reader did not take
    std::mutex mutex;
    std::vector<std::string> secrets; // guarded by mutex
};

log_state& state()
{
    // Never destroyed: threads may log while the process exits.
    static log_state* const instance = new log_state;
    return *instance;
}

void replace_all(std::string& text, const std::string& from,
                 std::string_view to)
{
    for (std::size_t at = text.find(from); at != std::string::npos;
         at = text.find(from, at + to.size()))
    {
        text.replace(at, from.size(), to);
    }
}

// A pipe takes this much at once without blocking, when it is writable at all.
constexpr std::size_t longest_line = PIPE_BUF;

bool is_writable()
{
    pollfd entry{STDOUT_FILENO, POLLOUT, 0};
    return ::poll(&entry, 1, 0) == 1 && (entry.revents & POLLOUT) != 0;
}

std::string shortened(std::string line)
{
    if (line.size() > longest_line)
    {
        line.resize(longest_line - 1);
        line += '\n';
    }
    return line;
}

// A reader that does not keep up costs lines, never the time of a request.
// Returns whether the line was written.
bool write_line(const std::string& line)
{
    if (!is_writable())
    {
        return false;
    }
    ssize_t n = 0;
    do
    {
        n = ::write(STDOUT_FILENO, line.data(), line.size());
    } while (n < 0 && errno == EINTR);
    return n >= 0;
}

// Reports lines that were left out, once the reader takes lines again.
void report_dropped()
{
    const std::uint64_t count = state().dropped.exchange(0);
    if (count == 0)
    {
        return;
    }
    const std::array<log_field, 1> fields{log_field("lines", count)};
    const std::string line =
        format_log_line(state().format, log_level::warning, unix_ms(),
                        "log lines were left out", fields);
    if (!write_line(line))
    {
        state().dropped += count;
    }
}

} // namespace

void configure_logging(log_format format, log_level lowest) noexcept
{
    state().format = format;
    state().lowest = lowest;
}

void redact_in_logs(std::string_view secret)
{
    if (secret.size() < shortest_secret)
    {
        return;
    }
    const std::lock_guard<std::mutex> lock(state().mutex);
    state().secrets.emplace_back(secret);
}

void redact_secrets(std::string& text)
{
    const std::lock_guard<std::mutex> lock(state().mutex);
    for (const std::string& secret : state().secrets)
    {
        replace_all(text, secret, "[redacted]");
    }
}

bool is_logged(log_level level) noexcept
{
    return level >= state().lowest.load(std::memory_order_relaxed);
}

void log(log_level level, std::string_view message, log_fields fields)
{
    if (!is_logged(level))
    {
        return;
    }
    std::string line = format_log_line(
        state().format, level, unix_ms(), message,
        absl::Span<const log_field>(fields.begin(), fields.size()));
    redact_secrets(line);
    report_dropped();
    if (!write_line(shortened(std::move(line))))
    {
        ++state().dropped;
    }
}

void log_debug(std::string_view message, log_fields fields)
{
    log(log_level::debug, message, fields);
}

void log_info(std::string_view message, log_fields fields)
{
    log(log_level::info, message, fields);
}

void log_warning(std::string_view message, log_fields fields)
{
    log(log_level::warning, message, fields);
}

void log_error(std::string_view message, log_fields fields)
{
    log(log_level::error, message, fields);
}

void log_decision(const decision& made)
{
    log_info("decision", {{"action", made.action},
                          {"request", made.request},
                          {"rack", made.rack},
                          {"target", made.target},
                          {"alternatives", made.alternatives},
                          {"reason", made.reason}});
}

} // namespace egretspindle
