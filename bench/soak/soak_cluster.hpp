/// \file
/// Processes of a soak.

#ifndef EGRETSPINDLE_BENCH_SOAK_SOAK_CLUSTER_HPP
#define EGRETSPINDLE_BENCH_SOAK_SOAK_CLUSTER_HPP

#include "client.hpp"
#include "history.hpp"
#include "options.hpp"
#include "support/child_process.hpp"
#include "support/port_reservation.hpp"
#include "support/temporary_directory.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace egretspindle::bench
{

/// Host of a soak and its addresses, each `ip:port`.
struct host_process
{
    std::string name;
    std::string member_name; ///< in its settings; changes with `replace_host`
    std::string data_center;
    std::string callers;       ///< of the host; clients use `proxy_address`
    std::string proxy_address; ///< caller address at the proxy
    std::string ready;
    std::string peer;
    std::string store; ///< address of the store at the proxy
    std::string store_server;
    std::unique_ptr<test::child_process> process;
    bool is_stopping = false;      ///< after SIGTERM
    bool is_killed = false;        ///< by the soak
    std::int64_t start_due_ms = 0; ///< of a killed host; 0: not planned
    std::vector<planned_stop> stops;
};

/// The stand-in platform, the proxy and the hosts. Use it from the main thread
/// only: child processes end with the thread that started them.
class soak_cluster
{
public:
    /// Starts all processes; throws when one does not become ready.
    explicit soak_cluster(const soak_options& options);

    [[nodiscard]] std::vector<host_endpoint> host_endpoints() const;

    [[nodiscard]] std::vector<host_process>& hosts()
    {
        return hosts_;
    }

    [[nodiscard]] const std::vector<std::string>& targets() const
    {
        return targets_;
    }

    /// Returns the names of the targets in a data centre.
    [[nodiscard]] std::vector<std::string>
    targets_in(std::string_view data_center) const;

    [[nodiscard]] test::temporary_directory& directory()
    {
        return directory_;
    }

    /// Starts a host unless it is running.
    void start_host(host_process& host);

    /// Kills a host.
    void kill_host(host_process& host);

    /// Kills all hosts at once; `poll` starts each again after a delay.
    ///
    /// \param delays_ms  by index of the host
    void kill_all_hosts(const std::vector<std::int64_t>& delays_ms);

    /// Gives a host that is not running a new name and address among the hosts,
    /// as if another machine took its place.
    void replace_host(host_process& host);

    /// Sends SIGTERM; `poll` starts the host again after its exit.
    void stop_host(host_process& host);

    /// Starts to stop and restart the hosts one after another.
    void start_rolling_restart();

    /// Ends the rolling restart; the remaining hosts are not restarted.
    void end_rolling_restart();

    /// Sends a signal, but no SIGSTOP to a host that is stopping.
    void signal_host(host_process& host, int number);

    /// Starts hosts that have exited again and records unexpected exits.
    void poll();

    /// Returns whether a host reports that it is ready for connections.
    [[nodiscard]] bool is_ready(const host_process& host) const;

    /// Sets the mode of the links that match a pattern.
    void set_link(const std::string& pattern, const std::string& mode,
                  long delay_ms = 0);

    /// Sends a control command to the stand-in platform.
    void command(const std::string& body);

    /// Removes all faults of links and of the stand-in platform, and resumes or
    /// starts all hosts.
    void remove_all_faults();

    /// Returns failures of host processes, such as an unexpected exit.
    [[nodiscard]] const std::vector<std::string>& process_failures() const
    {
        return process_failures_;
    }

private:
    void reserve_ports(const soak_options& options);
    [[nodiscard]] std::unique_ptr<test::child_process>
    start(const std::string& program, const std::vector<std::string>& arguments,
          const std::string& control);
    void start_platform(const soak_options& options);
    void start_proxy();
    void write_settings(const host_process& host);
    void poll_host(host_process& host);
    void advance_rolling_restart();

    std::string host_program_;
    test::temporary_directory directory_;
    test::port_reservation ports_;
    std::vector<host_process> hosts_;
    std::vector<std::string> targets_;
    std::vector<std::string> links_; ///< arguments of the proxy
    std::vector<std::string> target_arguments_;
    std::string platform_control_;
    std::string proxy_control_;
    std::unique_ptr<test::child_process> platform_;
    std::unique_ptr<test::child_process> proxy_;
    int replacement_count_ = 0;
    std::size_t rolling_restart_index_ = 0; ///< of the restarting host
    bool is_rolling_restart_ = false;
    std::vector<std::string> process_failures_;
};

} // namespace egretspindle::bench

#endif
