/// \file
/// Measures traffic, detection time and processor time of the failure detector
/// and compares it with all-to-all heartbeats of the same message format.

#include "egretspindle/membership/membership_service.hpp"
#include "egretspindle/net/message_auth.hpp"
#include "egretspindle/net/rpc_client.hpp"
#include "egretspindle/net/rpc_server.hpp"
#include "egretspindle/ownership/ownership_decision.hpp"
#include "egretspindle/protocol/message_router.hpp"
#include "egretspindle/protocol/message_type.hpp"

#include "membership/simulated_cluster.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <netinet/in.h>
#include <string>
#include <sys/resource.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace
{

using namespace egretspindle;
using test::simulated_cluster;

constexpr milliseconds second{1000};
constexpr milliseconds measured_time{30'000};
// Time without a heartbeat after which a host counts as dead: probe period,
// probe timeout and suspicion time of the failure detector.
constexpr milliseconds heartbeat_limit =
    default_probe_period + default_probe_timeout + default_suspicion_time;
// Bytes of a request besides sender, payload and authentication code: cxxtools
// writes 63, and the type and a longer id add 9. The size of the reply follows
// from the JSON-RPC format.
constexpr std::size_t request_envelope = 72;
constexpr std::size_t reply_envelope = 36;
constexpr std::size_t mac_size = 64;
// IP and TCP headers, with TCP timestamps, of a segment and its
// acknowledgement.
constexpr std::size_t segment_headers = 104;

struct statistics
{
    double min = 0;
    double median = 0;
    double max = 0;
};

statistics make_statistics(std::vector<double> values)
{
    std::sort(values.begin(), values.end());
    return {values.front(), values[values.size() / 2], values.back()};
}

double processor_seconds()
{
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    const auto seconds = [](const timeval& time)
    {
        return static_cast<double>(time.tv_sec) +
               static_cast<double>(time.tv_usec) / 1e6;
    };
    return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

member_digest describe_host(const std::string& name)
{
    rack_summary rack;
    rack.rack = "rack-" + name.substr(name.size() - 3);
    rack.epoch = 12;
    rack.free_slots = 37;
    rack.free_cores = 127.5;
    rack.free_memory_mb = 524288;
    rack.free_accelerators = 4;
    rack.urgent_queue = 3;
    rack.urgent_wait_ms = 12.5;
    rack.targets = 8;
    member_digest digest;
    digest.plan_version = 42;
    digest.racks = {rack};
    return digest;
}

/// Encodes, authenticates and decodes a message as sender and receiver do.
///
/// \returns its size in bytes as a JSON string
std::size_t process_message(const std::string& from,
                            const ping_message& message)
{
    const std::string payload = to_json(message);
    const std::string mac = message_mac("key", "ping", from, payload);
    if (!from_json<ping_message>(payload).ok() ||
        mac != message_mac("key", "ping", from, payload))
    {
        std::abort();
    }
    return payload.size() + static_cast<std::size_t>(std::count(
                                payload.begin(), payload.end(), '"'));
}

struct traffic
{
    double payload = 0;    ///< JSON-RPC text in bytes/s, sent and received
    double wire = 0;       ///< as `payload`, with IP and TCP headers
    double core_share = 0; ///< processor time as a fraction of a core
};

traffic make_traffic(double bytes, double messages, double processor, int hosts,
                     milliseconds time)
{
    const double seconds = static_cast<double>(time.count()) / 1000;
    // A message is sent by one host and received by another.
    const double share = 2.0 / hosts / seconds;
    return {bytes * share,
            (bytes + messages * static_cast<double>(segment_headers)) * share,
            processor / seconds / hosts};
}

/// Adds hosts, distributed over the data centres as evenly as possible.
void add_hosts(simulated_cluster& cluster, int hosts, int centers)
{
    cluster.describe = describe_host;
    for (int n = 0; n < centers; ++n)
    {
        const int rest = n < hosts % centers ? 1 : 0;
        const int count = hosts / centers + rest;
        membership_options options;
        options.incarnation = 1'764'826'571'123; // size of a Unix time in ms
        cluster.add_center("center-" + std::to_string(n), count, options);
    }
}

traffic measure_probes(int hosts, int centers, std::uint64_t seed,
                       std::vector<double>& detection)
{
    simulated_cluster cluster(seed);
    add_hosts(cluster, hosts, centers);
    if (!cluster.run_until([&] { return cluster.is_complete(); }, 60 * second))
    {
        std::fprintf(stderr, "%d hosts did not join, seed %llu\n", hosts,
                     static_cast<unsigned long long>(seed));
        std::exit(1);
    }
    cluster.run_for(10 * second);
    double bytes = 0;
    double messages = 0;
    cluster.on_message = [&](const std::string& from, const std::string& to,
                             const ping_message& message)
    {
        (void)to;
        ++messages;
        // Half of the messages are requests and half are replies.
        const std::size_t envelope =
            (request_envelope + reply_envelope + mac_size + from.size()) / 2;
        bytes += static_cast<double>(process_message(from, message) + envelope);
    };
    const double before = processor_seconds();
    cluster.run_for(measured_time);
    const traffic result = make_traffic(
        bytes, messages, processor_seconds() - before, hosts, measured_time);
    cluster.on_message = nullptr;
    const std::vector<std::string> names = cluster.names();
    const int kill_count = hosts > 3 ? 5 : 1;
    for (int n = 0; n < kill_count; ++n)
    {
        const std::string& killed_host =
            names[names.size() - 1 - static_cast<std::size_t>(n)];
        const time_point killed_at = cluster.now();
        cluster.kill(killed_host);
        const std::string center =
            cluster.state(killed_host).options.data_center;
        const bool is_detected = cluster.run_until(
            [&]
            {
                return std::all_of(
                    names.begin(), names.end() - 1 - n,
                    [&](const std::string& by)
                    {
                        return cluster.state(by).options.data_center !=
                                   center ||
                               cluster.shown_state(by, killed_host) == "dead";
                    });
            },
            30 * second);
        detection.push_back(is_detected ? static_cast<double>(elapsed_ms(
                                              killed_at, cluster.now()))
                                        : 30'000);
        cluster.run_for(5 * second);
    }
    return result;
}

traffic measure_heartbeats(int hosts, std::uint64_t seed,
                           std::vector<double>& detection)
{
    // Every host sends its digest to every other host twice a second for 3 s.
    const int rounds = 6;
    double bytes = 0;
    double messages = 0;
    ping_message message;
    message.members = {describe_host("center-0-100")};
    message.members[0].name = "center-0-100";
    message.members[0].address = "10.10.10.10:7100";
    message.members[0].data_center = "center-0";
    message.members[0].incarnation = 1'764'826'571'123;
    const ping_message empty;
    const double before = processor_seconds();
    for (int round = 0; round < rounds; ++round)
    {
        for (int link = 0; link < hosts * (hosts - 1); ++link)
        {
            message.members[0].sequence = 1000 + round;
            bytes += static_cast<double>(
                process_message("center-0-100", message) +
                process_message("center-0-101", empty) + request_envelope +
                reply_envelope + mac_size + 12);
            messages += 2;
        }
    }
    const milliseconds time = default_probe_period * rounds;
    const traffic result = make_traffic(
        bytes, messages, processor_seconds() - before, hosts, time);
    std::mt19937_64 random(seed);
    std::uniform_int_distribution<std::int64_t> phase(
        0, default_probe_period.count());
    for (int n = 0; n < 3; ++n)
    {
        detection.push_back(static_cast<double>(heartbeat_limit.count() +
                                                default_probe_period.count() -
                                                phase(random)));
    }
    return result;
}

void print_row(const char* protocol, int hosts, int centers,
               const traffic& rates, const statistics& detection,
               std::size_t runs)
{
    std::printf("%-10s %4d %3d %10.0f %10.0f %9.4f%% %7.0f %7.0f %7.0f %5zu\n",
                protocol, hosts, centers, rates.payload, rates.wire,
                100 * rates.core_share, detection.min, detection.median,
                detection.max, runs);
    std::fflush(stdout);
}

traffic median_of(std::vector<traffic> runs)
{
    std::sort(runs.begin(), runs.end(),
              [](const traffic& lhs, const traffic& rhs)
              { return lhs.wire < rhs.wire; });
    return runs[runs.size() / 2];
}

double compare_protocols(int hosts, int centers, std::uint64_t seed, int runs)
{
    std::vector<double> detection;
    std::vector<traffic> rates;
    rates.reserve(static_cast<std::size_t>(runs));
    for (int run = 0; run < runs; ++run)
    {
        rates.push_back(measure_probes(
            hosts, centers, seed + static_cast<std::uint64_t>(run) * 1000,
            detection));
    }
    const traffic probes = median_of(rates);
    print_row("probes", hosts, centers, probes, make_statistics(detection),
              detection.size());
    std::vector<double> heartbeat_detection;
    const traffic heartbeats =
        measure_heartbeats(hosts, seed, heartbeat_detection);
    print_row("heartbeats", hosts, 1, heartbeats,
              make_statistics(heartbeat_detection), heartbeat_detection.size());
    return probes.wire;
}

/// Member of the cluster with an RPC server on a loopback port.
class loopback_host
{
public:
    loopback_host(const std::string& name, unsigned short port,
                  const std::string& seed)
        : client_("key", name),
          service_(make_options(name, port, seed), client_,
                   [name] { return describe_host(name); }),
          server_("key",
                  [this](const std::string& type, const std::string& sender,
                         const std::string& payload)
                  { return router_.dispatch(type, sender, payload); })
    {
        router_.on<ping_message, ping_message>(
            message_type::ping,
            [this](const std::string& sender, const ping_message& message)
            { return service_.handle_ping(sender, message); });
        router_.on<ping_message, ping_message>(
            message_type::ping_request,
            [this](const std::string& sender, const ping_message& message)
            { return service_.handle_ping_request(sender, message); });
        if (!server_.start("127.0.0.1", port).ok())
        {
            std::fprintf(stderr, "cannot listen on port %d\n", port);
            std::exit(1);
        }
        service_.start();
    }

    ~loopback_host()
    {
        service_.stop();
        server_.stop();
    }

    loopback_host(const loopback_host&) = delete;
    loopback_host& operator=(const loopback_host&) = delete;

    std::size_t live() const
    {
        return service_.live_hosts("center-0").size();
    }

private:
    static membership_options make_options(const std::string& name,
                                           unsigned short port,
                                           const std::string& seed)
    {
        membership_options options;
        options.name = name;
        options.address = "127.0.0.1:" + std::to_string(port);
        options.data_center = "center-0";
        options.seeds = {seed};
        return options;
    }

    rpc_client client_;
    membership_service service_;
    message_router router_;
    rpc_server server_;
};

unsigned short free_port()
{
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    if (bind(fd, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
        getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size) != 0)
    {
        std::fprintf(stderr, "no free port\n");
        std::exit(1);
    }
    close(fd);
    return ntohs(address.sin_port);
}

/// Measures the processor time of members in this process that exchange their
/// messages over TCP.
void measure_loopback(int hosts)
{
    std::vector<std::unique_ptr<loopback_host>> members;
    members.reserve(static_cast<std::size_t>(hosts));
    std::string seed;
    for (int n = 0; n < hosts; ++n)
    {
        const unsigned short port = free_port();
        if (seed.empty())
        {
            seed = "127.0.0.1:" + std::to_string(port);
        }
        members.push_back(std::make_unique<loopback_host>(
            "host-" + std::to_string(100 + n), port, seed));
    }
    const time_point end = steady_clock::now() + 20 * second;
    while (!std::all_of(members.begin(), members.end(),
                        [&](const std::unique_ptr<loopback_host>& member) {
                            return member->live() ==
                                   static_cast<std::size_t>(hosts);
                        }))
    {
        if (steady_clock::now() > end)
        {
            std::printf("real %d hosts did not join within 20 s\n", hosts);
            return;
        }
        std::this_thread::sleep_for(milliseconds(20));
    }
    const double before = processor_seconds();
    std::this_thread::sleep_for(10 * second);
    std::printf("real       %4d   1 processor time per host %.3f%% of a core\n",
                hosts, (processor_seconds() - before) / 10 / hosts * 100);
}

/// Measures the processor time of the ownership decisions of a host in steady
/// state.
void measure_decisions(int racks, int hosts)
{
    ownership_options options;
    options.name = "host-100";
    options.data_center = "center-0";
    time_point now{std::chrono::hours(1)};
    ownership_state state = make_ownership_state(options, 1, now);
    std::vector<host_entry> listed;
    for (int n = 0; n < racks * 8; ++n)
    {
        host_entry target;
        target.name = "target-" + std::to_string(n);
        target.role = "target";
        target.data_center = "center-0";
        target.rack = "rack-" + std::to_string(n / 8);
        listed.push_back(target);
    }
    std::vector<std::string> live;
    std::vector<member_digest> digests;
    for (int n = 0; n < hosts; ++n)
    {
        live.push_back("host-" + std::to_string(100 + n));
        digests.emplace_back();
        digests.back().name = live.back();
        digests.back().data_center = "center-0";
    }
    for (int n = 0; n < racks; ++n)
    {
        const std::string rack = "rack-" + std::to_string(n);
        const std::string owner = preferred_host({"center-0", rack}, live);
        for (member_digest& digest : digests)
        {
            if (digest.name == owner)
            {
                digest.racks.push_back(describe_host(digest.name).racks[0]);
                digest.racks.back().rack = rack;
            }
        }
    }
    const double before = processor_seconds();
    const int ticks = 200; // 20 s; the host list is updated every fifth tick
    for (int n = 0; n < ticks; ++n)
    {
        now += milliseconds(100);
        if (n % 5 == 0)
        {
            update_hosts(state, listed, now);
        }
        update_members(state, digests, live);
        (void)decide(state, now);
    }
    std::printf("decisions: %d racks, %d hosts: %.0f us a tick, %.3f%% of a "
                "core\n",
                racks, hosts, (processor_seconds() - before) / ticks * 1e6,
                (processor_seconds() - before) / 20 * 100);
}

} // namespace

int main(int argc, char** argv)
{
    const std::uint64_t seed =
        argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
    std::printf("seed %llu; bytes a second and host, sent and received; "
                "detection by all members of the data centre in ms\n",
                static_cast<unsigned long long>(seed));
    std::printf("%-10s %4s %3s %10s %10s %10s %7s %7s %7s %5s\n", "protocol",
                "n", "dcs", "json-rpc", "with tcp", "core", "min", "median",
                "max", "runs");
    compare_protocols(3, 1, seed, 5);
    compare_protocols(9, 1, seed, 5);
    const double wire_rate_30 = compare_protocols(30, 1, seed, 3);
    const double wire_rate_130 = compare_protocols(130, 1, seed, 3);
    compare_protocols(130, 7, seed, 3);
    std::printf("slope of the probes from 30 to 130 members: %.1f bytes a "
                "second per member\n",
                (wire_rate_130 - wire_rate_30) / 100);
    measure_decisions(20, 19);
    measure_decisions(140, 130);
    measure_loopback(3);
    measure_loopback(9);
    return 0;
}
