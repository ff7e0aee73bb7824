/// \file
/// Racks that this host owns.

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

/// Runtimes by rack. Usable from several threads.
class rack_table
{
public:
    rack_table(rack_options options, rack_hooks hooks);

    /// Starts to run a rack, or updates one that runs already.
    void acquire(const owned_rack& rack);

    /// Updates targets, claims or news of the previous owner.
    void update(const owned_rack& rack);

    /// Stops to run a rack; no renewal is sent after the return.
    void release(const rack_id& rack);

    /// Stops all racks.
    void stop();

    /// Returns the runtime of a rack, or null.
    [[nodiscard]] std::shared_ptr<rack_runtime>
    find(const std::string& rack) const;

    /// Returns all runtimes.
    [[nodiscard]] std::vector<std::shared_ptr<rack_runtime>> all() const;

    /// Returns when each target of a rack was last renewed, also after the
    /// rack was lost.
    [[nodiscard]] std::vector<target_renewal>
    renewals(const rack_id& rack) const;

private:
    /// Renewals of a rack as of the time it was lost.
    struct past_renewals
    {
        time_point taken;
        std::vector<target_renewal> renewals;
    };

    rack_options options_;
    rack_hooks hooks_;
    mutable std::mutex mutex_;
    std::map<std::string, std::shared_ptr<rack_runtime>> racks_;
    std::map<std::string, past_renewals> past_;
};

} // namespace egretspindle

#endif
