#include "egretspindle/logging/decision.hpp"
#include "egretspindle/logging/log.hpp"
#include "egretspindle/logging/log_line.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <fcntl.h>
#include <sstream>
#include <string>
#include <thread>
#include <unistd.h>
#include <vector>

using namespace egretspindle;

namespace
{

std::string format(log_format style, const std::vector<log_field>& fields)
{
    return format_log_line(style, log_level::info, 1'700'000'000'123, "placed",
                           fields);
}

// Returns what `action` writes to standard output.
template <typename Action>
std::string captured(Action action)
{
    std::array<int, 2> ends{};
    REQUIRE(::pipe(ends.data()) == 0);
    const int saved = ::dup(STDOUT_FILENO);
    ::dup2(ends[1], STDOUT_FILENO);
    ::close(ends[1]);
    std::string text;
    std::thread reader(
        [&text, from = ends[0]]
        {
            std::array<char, 4096> buf{};
            for (ssize_t n = 0; (n = ::read(from, buf.data(), buf.size())) > 0;)
            {
                text.append(buf.data(), static_cast<std::size_t>(n));
            }
        });
    action();
    ::dup2(saved, STDOUT_FILENO);
    ::close(saved);
    reader.join();
    ::close(ends[0]);
    return text;
}

} // namespace

// Guards against lines that a log collector cannot take apart.
TEST_CASE("fields are encoded by type", "[logging]")
{
    const std::vector<log_field> fields{
        {"request", "rota/d-1"}, {"wait_ms", 3}, {"share", 0.5},
        {"urgent", true},        {"empty", ""},  {"text", "two words"}};
    CHECK(format(log_format::logfmt, fields) ==
          "time=2023-11-14T22:13:20.123Z level=info msg=placed "
          "request=rota/d-1 wait_ms=3 share=0.5 urgent=true empty=\"\" "
          "text=\"two words\"\n");
    CHECK(format(log_format::json, fields) ==
          R"({"time":"2023-11-14T22:13:20.123Z","level":"info",)"
          R"("msg":"placed","request":"rota/d-1","wait_ms":3,"share":0.5,)"
          R"("urgent":true,"empty":"","text":"two words"})"
          "\n");
}

// Guards against forged lines and against control bytes in JSON.
TEST_CASE("hostile values stay inside their field", "[logging]")
{
    std::string hostile = "a\" level=error\nmsg=forged \\ \x01 \xFF \x7F";
    hostile += '\0';
    for (const log_format style : {log_format::logfmt, log_format::json})
    {
        const std::string line =
            format(style, {{"request", hostile}, {"load", 1e308 * 10}});
        CAPTURE(line);
        CHECK(std::count(line.begin(), line.end(), '\n') == 1);
        CHECK(line.find("\" level=error") == line.find("\\\" level=error") + 1);
        const auto is_control = [](unsigned char c)
        {
            return c < 0x20 || c >= 0x7F;
        };
        CHECK(std::count_if(line.begin(), line.end(), is_control) == 1);
    }
}

// Guards against credentials in logs, by field name and by value.
TEST_CASE("credentials are not written", "[logging]")
{
    redact_in_logs("hunter2-hunter2");
    const std::string text = captured(
        []
        {
            log_info("operator hunter2-hunter2",
                     {{"token", "t-123"}, {"cluster_key", "k-123"}});
            log_error("failed", {{"reason", "bad hunter2-hunter2 here"}});
        });
    CAPTURE(text);
    for (const char* secret : {"hunter2", "t-123", "k-123"})
    {
        CHECK(text.find(secret) == std::string::npos);
    }
    CHECK(text.find("bad [redacted] here") != std::string::npos);
}

// Guards against lines of several threads that are mixed into each other, and
// against lines that are left out without being counted: the reader of a busy
// machine may not keep up, and every line is either whole or counted then.
TEST_CASE("lines of several threads stay whole", "[logging]")
{
    constexpr int threads = 4;
    constexpr int lines = 200;
    constexpr int closing_lines = 100;
    const std::string text = captured(
        []
        {
            std::vector<std::thread> writers;
            writers.reserve(threads);
            for (int it = 0; it < threads; ++it)
            {
                writers.emplace_back(
                    []
                    {
                        for (int n = 0; n < lines; ++n)
                        {
                            log_decision({"place", "rota/d-1", "r1", "t1",
                                          "r2=4.5ms", "least wait"});
                        }
                    });
            }
            for (std::thread& writer : writers)
            {
                writer.join();
            }
            // The reader catches up, and what was left out is reported.
            for (int n = 0; n < closing_lines; ++n)
            {
                std::this_thread::sleep_for(std::chrono::milliseconds(5));
                log_info("closing", {});
            }
        });
    const std::string placed =
        " level=info msg=decision action=place request=rota/d-1 rack=r1 "
        "target=t1 alternatives=\"r2=4.5ms\" reason=\"least wait\"";
    const std::string closing = " level=info msg=closing";
    const std::string left_out =
        " level=warning msg=\"log lines were left out\" lines=";
    int accounted = 0;
    std::istringstream in(text);
    for (std::string line; std::getline(in, line);)
    {
        const std::string tail =
            line.substr(std::min(line.size(), line.find(' ')));
        CAPTURE(line);
        if (tail.compare(0, left_out.size(), left_out) == 0)
        {
            accounted += std::stoi(tail.substr(left_out.size()));
            continue;
        }
        const bool is_whole = tail == placed || tail == closing;
        CHECK(is_whole);
        ++accounted;
    }
    CHECK(accounted == threads * lines + closing_lines);
}

// Guards against a level that is ignored.
TEST_CASE("lines below the configured level are dropped", "[logging]")
{
    configure_logging(log_format::logfmt, log_level::warning);
    const std::string text = captured(
        []
        {
            log_info("dropped");
            log_warning("kept");
        });
    configure_logging(log_format::logfmt, log_level::info);
    CHECK(text.find("dropped") == std::string::npos);
    CHECK(text.find("msg=kept") != std::string::npos);
}

// A collector that stops reading must not hold up requests.
TEST_CASE("a reader that stops costs lines and no time", "[logging]")
{
    std::array<int, 2> ends{};
    REQUIRE(::pipe(ends.data()) == 0);
    const int saved = ::dup(STDOUT_FILENO);
    ::dup2(ends[1], STDOUT_FILENO);
    ::close(ends[1]);
    const std::string text(1'000, 'x');
    for (int n = 0; n < 1'000; ++n)
    {
        log_info("line", {{"text", text}});
    }
    // The reader takes up what fits into the pipe, then further lines.
    std::string buf(1 << 20, '\0');
    const ssize_t first = ::read(ends[0], buf.data(), buf.size());
    log_info("after", {});
    const ssize_t second = ::read(ends[0], buf.data(), buf.size());
    ::dup2(saved, STDOUT_FILENO);
    ::close(saved);
    ::close(ends[0]);
    REQUIRE(first > 0);
    REQUIRE(second > 0);
    const std::string later = buf.substr(0, static_cast<std::size_t>(second));
    REQUIRE(later.find("log lines were left out") != std::string::npos);
    REQUIRE(later.find("after") != std::string::npos);
}
