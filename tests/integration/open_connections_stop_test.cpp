#include "egretspindle/core/clock.hpp"

#include "support/child_process.hpp"
#include "support/json_http.hpp"
#include "support/port_reservation.hpp"
#include "support/raw_connection.hpp"
#include "support/temporary_directory.hpp"
#include "support/wait_until.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <sys/wait.h>
#include <thread>

using namespace egretspindle;
using namespace egretspindle::test;

namespace
{

// The platform kills a process so long after SIGTERM; the default of the
// settings.
constexpr milliseconds grace{6'000};
// A connection may end without an answer this long after the last byte of a
// request, which the host then has not read.
constexpr milliseconds loss_slack{200};
// Advice of the platform's callers to the host.
constexpr milliseconds call_deadline{3'000};
const std::string job_body =
    R"({"spec":"300:100","steps":[{"count":1,"cpu":100,"memMb":10,)"
    R"("estimateMs":100}]})";

/// Request that a caller has sent whole, and how it ended.
struct sent_request
{
    std::string method;
    std::string job;
    milliseconds took{0}; ///< from its last byte
    int status = 0;       ///< 0: no complete answer
    bool is_open = true;  ///< the connection, after waiting for the answer
};

/// What callers do.
struct caller_options
{
    bool is_pipelined = false; ///< send requests before the last answer
    bool is_in_pieces = false;
};

/// Two hosts on a stand-in platform.
struct open_connections_fixture
{
    port_reservation ports;
    temporary_directory directory;
    const std::string control = ports.reserve_address();
    std::map<std::string, std::string> stores;
    std::map<std::string, std::string> probes;
    std::map<std::string, unsigned short> callers;
    std::unique_ptr<child_process> platform;
    std::map<std::string, std::unique_ptr<child_process>> hosts;
    std::mutex mutex;
    std::vector<sent_request> requests;
    std::atomic<bool> is_over{false};

    open_connections_fixture()
    {
        std::vector<std::string> arguments{"--control", control};
        for (const std::string name : {"h1", "h2"})
        {
            stores[name] = ports.reserve_address();
            arguments.insert(arguments.end(),
                             {"--store", name + "=" + stores[name]});
        }
        for (int n = 0; n < 4; ++n)
        {
            const std::string address = ports.reserve_address();
            arguments.insert(
                arguments.end(),
                {"--target",
                 fmt::format("t{},{},{},a,r{}", n, address, address, n / 2)});
        }
        platform = std::make_unique<child_process>(
            "standin_platform", arguments, directory.file("platform.log"));
        REQUIRE(wait_until(
            [&] { return send_http(control, "GET", "/control").ok(); }));
        for (const std::string name : {"h1", "h2"})
        {
            probes[name] = ports.reserve_address();
            callers[name] = ports.reserve();
            write_file(
                directory.file(name + ".toml"),
                fmt::format("[scheduler]\nhost = \"{}\"\ndata_center = \"a\"\n"
                            "callers = \"127.0.0.1:{}\"\nready = \"{}\"\n"
                            "peer = \"{}\"\nstore = \"{}\"\n"
                            "transactions_span_parts = true\n",
                            name, callers[name], probes[name],
                            ports.reserve_address(), stores[name]));
        }
    }

    void start(const std::string& name)
    {
        hosts[name] = std::make_unique<child_process>(
            "egretspindle",
            std::vector<std::string>{"--settings",
                                     directory.file(name + ".toml")},
            directory.file(name + ".log"));
    }

    bool is_ready(const std::string& name)
    {
        const absl::StatusOr<http_response> reply =
            send_http(probes[name], "GET", "/egretspindle/ready");
        return reply.ok() && reply->status == 200;
    }

    void set_store_of_host(const std::string& name, const std::string& action,
                           int delay_ms)
    {
        post_control(
            control,
            fmt::format(
                R"({{"what":"store","names":["{}"],"action":"{}","delay_ms":{}}})",
                name, action, delay_ms));
    }

    // Sends SIGTERM, half a second apart. Returns whether the host reported
    // ready afterwards.
    bool tell_to_stop(const std::string& name, int signals)
    {
        bool was_ready = false;
        hosts[name]->signal(SIGTERM);
        for (int n = 1; n < signals; ++n)
        {
            std::this_thread::sleep_for(milliseconds(500));
            was_ready = was_ready || is_ready(name);
            hosts[name]->signal(SIGTERM);
        }
        return was_ready;
    }

    // Sends requests to a host on open connections until the test is over.
    void call(const std::string& host, std::uint32_t seed,
              const caller_options& options)
    {
        std::minstd_rand random(seed);
        std::vector<std::string> jobs;
        std::unique_ptr<raw_connection> connection;
        while (!is_over)
        {
            if (!connection)
            {
                try
                {
                    connection =
                        std::make_unique<raw_connection>(callers[host]);
                }
                catch (const std::exception&)
                {
                    std::this_thread::sleep_for(milliseconds(5));
                    continue;
                }
            }
            std::vector<sent_request> sent;
            std::string text;
            const int count = options.is_pipelined ? 1 + random() % 3 : 1;
            for (int n = 0; n < count; ++n)
            {
                sent_request request;
                const bool is_new = jobs.empty() || random() % 3 == 0;
                request.method = is_new ? "POST" : "GET";
                if (is_new)
                {
                    jobs.push_back(fmt::format("{:08x}{:08x}", seed, random()));
                }
                request.job =
                    is_new ? jobs.back() : jobs[random() % jobs.size()];
                const std::string body = is_new ? job_body : "";
                text += fmt::format(
                    "{} /jobs/{} HTTP/1.1\r\nHost: jobs.test\r\n"
                    "Egretspindle-Deadline-Ms: {}\r\nContent-Length: {}\r\n"
                    "\r\n{}",
                    request.method, request.job, call_deadline.count(),
                    body.size(), body);
                sent.push_back(request);
            }
            bool is_sent = true;
            std::string_view rest = text;
            if (options.is_in_pieces && random() % 2 == 0)
            {
                const std::size_t n = 1 + random() % (rest.size() - 1);
                is_sent = connection->send(rest.substr(0, n));
                rest.remove_prefix(n);
                std::this_thread::sleep_for(milliseconds(random() % 300));
            }
            is_sent = is_sent && connection->send(rest);
            if (!is_sent)
            {
                connection.reset();
                continue;
            }
            const steady_clock::time_point sent_at = steady_clock::now();
            bool is_last = false;
            for (sent_request& request : sent)
            {
                const std::optional<raw_response> response =
                    connection->read(grace + call_deadline);
                request.took = elapsed(sent_at);
                request.status = response ? response->status : 0;
                request.is_open = connection->is_open();
                is_last = is_last || !response || response->is_last();
                const std::lock_guard<std::mutex> lock(mutex);
                requests.push_back(request);
            }
            if (is_last)
            {
                connection.reset();
            }
        }
    }

    // Checks that each request that was sent whole has been answered, or that
    // its connection ended at once, and returns the jobs that were accepted.
    std::vector<std::string> check_answers()
    {
        std::vector<std::string> accepted;
        int unanswered = 0;
        const std::lock_guard<std::mutex> lock(mutex);
        for (const sent_request& request : requests)
        {
            if (request.status == 0)
            {
                ++unanswered;
                CAPTURE(request.method);
                CAPTURE(request.job);
                CAPTURE(request.took.count());
                CHECK_FALSE(request.is_open);
                CHECK(request.took <= loss_slack);
            }
            else if (request.method == "POST" && request.status == 200)
            {
                accepted.push_back(request.job);
            }
        }
        INFO(requests.size() << " requests, " << unanswered << " unanswered");
        CHECK(!requests.empty());
        return accepted;
    }
};

/// State of the platform and of the host when it is told to stop.
struct stop_case
{
    std::string name;
    std::string store_action;   ///< empty: the store works
    int store_delay_ms = 0;     ///< of each call
    int signals = 1;            ///< SIGTERM, half a second apart
    milliseconds start_time{0}; ///< from the start of the host; 0: ready before
    caller_options callers;
    bool is_alone = false; ///< the first host of the cluster
};

const std::vector<stop_case> cases{
    {"calm", "", 0, 1, milliseconds(0), {}},
    {"told twice", "", 0, 2, milliseconds(0), {}},
    {"pipelined", "", 0, 1, milliseconds(0), {true, false}},
    {"in pieces", "", 0, 1, milliseconds(0), {false, true}},
    {"slow store", "slow", 400, 1, milliseconds(0), {true, true}},
    {"unavailable store", "unavailable", 0, 1, milliseconds(0), {}},
    {"silent store", "silent", 0, 2, milliseconds(0), {}},
    {"early", "", 0, 1, milliseconds(150), {}},
    {"early, told twice", "", 0, 2, milliseconds(400), {true, false}},
    {"early, slow store", "slow", 250, 1, milliseconds(600), {}},
};

// Stops a host while callers use it, and checks what they were told.
void play(const stop_case& item)
{
    constexpr std::uint32_t seed = 1;
    CAPTURE(item.name);
    CAPTURE(seed);
    open_connections_fixture fixture;
    if (!item.is_alone)
    {
        fixture.start("h2");
        REQUIRE(wait_until([&] { return fixture.is_ready("h2"); }));
    }
    const bool is_early = item.start_time > milliseconds(0);
    if (is_early && !item.store_action.empty())
    {
        fixture.set_store_of_host("h1", item.store_action, item.store_delay_ms);
    }
    const steady_clock::time_point started_at = steady_clock::now();
    fixture.start("h1");
    if (!is_early)
    {
        REQUIRE(wait_until([&] { return fixture.is_ready("h1"); }));
    }
    std::vector<std::thread> callers;
    for (std::uint32_t n = 0; n < 12; ++n)
    {
        callers.emplace_back(
            [&, n] { fixture.call("h1", seed * 100 + n, item.callers); });
    }
    if (is_early)
    {
        std::this_thread::sleep_until(started_at + item.start_time);
    }
    else
    {
        // Calls of the first second wait for the first owners.
        std::this_thread::sleep_for(milliseconds(2'500));
        if (!item.store_action.empty())
        {
            fixture.set_store_of_host("h1", item.store_action,
                                      item.store_delay_ms);
            std::this_thread::sleep_for(milliseconds(300));
        }
    }
    child_process& host = *fixture.hosts["h1"];
    const steady_clock::time_point told_at = steady_clock::now();
    const bool was_ready = fixture.tell_to_stop("h1", item.signals);
    const std::optional<int> status = host.wait_exit(std::chrono::seconds(40));
    const milliseconds took = elapsed(told_at);
    fixture.is_over = true;
    for (std::thread& caller : callers)
    {
        caller.join();
    }
    INFO(read_file(fixture.directory.file("h1.log")).substr(0, 4'000));
    REQUIRE(status.has_value());
    CHECK(*status == 0);
    CHECK(took < grace);
    CHECK_FALSE(was_ready);
    const std::vector<std::string> accepted = fixture.check_answers();
    CAPTURE(accepted.size());
    // What was accepted is known to the host that remains.
    const std::size_t checked =
        item.is_alone ? 0 : std::min<std::size_t>(accepted.size(), 50);
    const std::size_t first = accepted.size() - checked;
    for (std::size_t n = first; n < accepted.size(); ++n)
    {
        CAPTURE(accepted[n]);
        CHECK(wait_until(
            [&]
            {
                raw_connection caller(fixture.callers["h2"]);
                caller.send(fmt::format("GET /jobs/{} HTTP/1.1\r\n"
                                        "Host: jobs.test\r\n\r\n",
                                        accepted[n]));
                const std::optional<raw_response> response = caller.read();
                return response && response->status == 200;
            }));
    }
}

} // namespace

// Guards against a planned stop that ends calls by the clock: callers on open
// connections get no answer to requests that the host has read.
TEST_CASE("a host that stops answers callers that go on sending",
          "[open_connections_stop]")
{
    play(cases[GENERATE(range(0, 10))]);
}

// Guards against a new configuration or SIGHUP that cuts a request or delays it
// until its time is over.
TEST_CASE("configurations and SIGHUP cut no request", "[open_connections_stop]")
{
    open_connections_fixture fixture;
    for (const std::string name : {"h1", "h2"})
    {
        fixture.start(name);
        REQUIRE(wait_until([&] { return fixture.is_ready(name); }));
    }
    std::vector<std::thread> callers;
    for (std::uint32_t n = 0; n < 12; ++n)
    {
        callers.emplace_back(
            [&, n] {
                fixture.call("h1", 700 + n, {n % 3 == 0, n % 3 == 1});
            });
    }
    for (int version = 2; version < 12; ++version)
    {
        std::this_thread::sleep_for(milliseconds(300));
        fixture.hosts["h1"]->signal(SIGHUP);
        post_control(fixture.control,
                     fmt::format(R"({{"what":"config","version":{},)"
                                 R"("second_queue":{}}})",
                                 version, version % 2 == 0));
    }
    fixture.is_over = true;
    for (std::thread& caller : callers)
    {
        caller.join();
    }
    const std::string log = read_file(fixture.directory.file("h1.log"));
    CHECK(log.find("applied configuration\" version=11 ") != std::string::npos);
    CHECK(log.find("settings file checked") != std::string::npos);
    REQUIRE(!fixture.requests.empty());
    for (const sent_request& request : fixture.requests)
    {
        CAPTURE(request.method);
        CAPTURE(request.job);
        CHECK(request.status != 0);
        CHECK(request.took < call_deadline);
    }
}

// Guards against a host that ends at once with calls that wait for an owner,
// because it has not joined the cluster.
TEST_CASE("a host that stops before it has joined answers its callers",
          "[open_connections_stop]")
{
    // The configuration is known after one call to the store, while the cluster
    // is created by several.
    stop_case item{"first start", "slow", 600, 1, milliseconds(1'050), {}};
    item.is_alone = true;
    play(item);
}
