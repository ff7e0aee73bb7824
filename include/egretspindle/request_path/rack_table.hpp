/// \file
/// Runtimes of the racks that this host owns.

#ifndef EGRETSPINDLE_REQUEST_PATH_RACK_TABLE_HPP
#define EGRETSPINDLE_REQUEST_PATH_RACK_TABLE_HPP

#include "egretspindle/request_path/rack_runtime.hpp"

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace egretspindle
{

/// Map from the name of a rack to its runtime. Thread-safe.
class rack_table
{
public:
    rack_table(rack_options options, rack_hooks hooks);

    /// Starts the runtime of a rack, or updates the existing one.
    void acquire(const owned_rack& rack);

    /// Applies changed targets, fencing tokens or information about the
    /// previous owner. Has no effect if the rack has no runtime.
    void update(const owned_rack& rack);

    /// Stops the runtime of a rack; no lease renewal is sent after this
    /// function returns.
    void release(const rack_id& rack);

    /// Stops the runtimes of all racks.
    void stop();

    /// Returns the runtime of a rack, or null.
    [[nodiscard]] std::shared_ptr<rack_runtime>
    find(const std::string& rack) const;

    /// Returns a snapshot of the runtimes, ordered by the name of the rack.
    [[nodiscard]] std::vector<std::shared_ptr<rack_runtime>> all() const;

    /// Returns the present age of the last lease renewal of each target of a
    /// rack, also after the rack was released.
    [[nodiscard]] std::vector<target_renewal>
    renewals(const rack_id& rack) const;

private:
    /// Renewals of a rack whose runtime was stopped.
    struct past_renewals
    {
        time_point stopped_at;
        std::vector<target_renewal> renewals; ///< ages as of `stopped_at`
    };

    rack_options options_;
    rack_hooks hooks_;
    mutable std::mutex mutex_;
    std::map<std::string, std::shared_ptr<rack_runtime>> racks_;
    std::map<std::string, past_renewals> past_renewals_;
};

} // namespace egretspindle

#endif
