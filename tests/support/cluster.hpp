/// \file
/// Cluster of real processes on loopback.

#ifndef EGRETSPINDLE_TESTS_SUPPORT_CLUSTER_HPP
#define EGRETSPINDLE_TESTS_SUPPORT_CLUSTER_HPP

#include "egretspindle/adapters/host_entry.hpp"

#include "support/caller.hpp"
#include "support/checks.hpp"
#include "support/child_process.hpp"
#include "support/cluster_options.hpp"
#include "support/port_reservation.hpp"
#include "support/temporary_directory.hpp"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace egretspindle::test
{

/// A process of the cluster that can be started again.
struct cluster_process
{
    std::string name;
    std::string data_center;
    std::string program;
    std::vector<std::string> arguments;
    std::string log_file;
    std::string address; ///< caller address of an entry host
    std::string peer;    ///< RPC address of an entry host
    std::string admin;   ///< admin address of an entry host
    std::unique_ptr<child_process> process;

    void start();
    void kill()
    {
        process->kill();
    }
    void pause();
    void resume();
    /// Sends SIGTERM.
    void terminate();
};

/// Store, host list, targets, entry hosts and, as an option, a proxy. Names:
/// data centres `a`, `b`; entry hosts `a1`, `a2`; targets `a-t1`; racks `a-r1`;
/// links `a1-store`, `a1-hosts`, `a1-b1` and `to-a-t1`.
class cluster
{
public:
    explicit cluster(const cluster_options& options);

    cluster_process& host(const std::string& name);
    cluster_process& target(const std::string& name);

    /// Returns the names of all entry hosts, or of one data centre.
    [[nodiscard]] std::vector<std::string>
    host_names(const std::string& data_center = "") const;
    [[nodiscard]] std::vector<std::string>
    target_names(const std::string& data_center = "") const;

    /// Returns the caller addresses of the entry hosts, or of one data centre.
    [[nodiscard]] std::vector<std::string>
    addresses(const std::string& data_center = "") const;

    /// Waits until the entry hosts are ready; throws with their logs if not.
    void wait_ready(const std::vector<std::string>& names);

    void control_store(const std::string& command);
    /// \returns the Unix time from which readers see the change
    std::int64_t control_host_list(const std::string& command);
    void control_target(const std::string& name, const std::string& command);
    /// Sets the mode of all links that match the patterns.
    void set_links(const std::vector<std::string>& patterns,
                   const std::string& mode, long delay_ms = 0, long count = 0);
    /// Sets the mode of all links from a data centre to the other data centres,
    /// the store and the host list.
    void set_data_center_link(const std::string& data_center,
                              const std::string& mode);

    /// Returns the records of targets, store and callers.
    [[nodiscard]] run_record record(const caller& calls) const;

    /// Returns the directory of logs and journals.
    [[nodiscard]] const std::string& directory() const noexcept
    {
        return directory_.path();
    }

    /// Returns the end of each entry host's log.
    [[nodiscard]] std::string log_tails(std::size_t bytes = 4000) const;

private:
    void build_platform();
    void build_targets();
    void build_hosts();
    void build_proxy();
    void write_plan();
    std::string link(const std::string& name, const std::string& server);
    std::string settings_of(const cluster_process& host);

    cluster_options options_;
    temporary_directory directory_;
    port_reservation ports_;
    std::string store_address_;
    std::string host_list_address_;
    std::string proxy_control_;
    std::vector<std::string> links_;
    std::vector<host_entry> entries_;
    // Stopped in reverse order: hosts before what they use.
    std::unique_ptr<child_process> store_;
    std::unique_ptr<child_process> host_list_;
    std::unique_ptr<child_process> proxy_;
    std::map<std::string, cluster_process> targets_;
    std::map<std::string, cluster_process> hosts_;
};

} // namespace egretspindle::test

#endif
