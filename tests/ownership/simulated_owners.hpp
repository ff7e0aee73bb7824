/// \file
/// Simulation of hosts that own racks, a store and targets, in virtual time.

#ifndef EGRETSPINDLE_TESTS_OWNERSHIP_SIMULATED_OWNERS_HPP
#define EGRETSPINDLE_TESTS_OWNERSHIP_SIMULATED_OWNERS_HPP

#include "egretspindle/core/error.hpp"
#include "egretspindle/ownership/ownership_decision.hpp"
#include "egretspindle/ownership/ownership_result.hpp"

#include <algorithm>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace egretspindle::test
{

/// Behaviour of the simulated store.
enum class store_mode
{
    up,
    down,          ///< every call fails
    loses_replies, ///< commits, but the caller gets a timeout
    loses_writes,  ///< does not commit; the caller gets a timeout
};

/// Runs the ownership decisions of several hosts of data centre `a`.
class simulated_owners
{
public:
    struct host
    {
        ownership_state state;
        bool is_running = true;
        bool is_paused = false;
        bool reaches_store = true;
        std::vector<std::string> live; ///< hosts that its membership reports
        std::vector<ownership_event> history;
        std::vector<std::pair<ownership_action, time_point>> held;
        bool delays_reads = false; ///< results of reads are delayed
        std::vector<std::pair<ownership_action, absl::StatusOr<store_row>>>
            delayed_reads;
    };

    struct target
    {
        fencing_token token;
        time_point lease_until;
    };

    /// Adds a host; afterwards every running host is live for all hosts.
    void add(const std::string& name, std::int64_t incarnation = 1000)
    {
        ownership_options options;
        options.name = name;
        options.data_center = "a";
        hosts[name] = host{};
        hosts[name].state = make_ownership_state(options, incarnation, now);
        set_running_live();
    }

    /// Makes the membership of every host report all running hosts as live.
    void set_running_live()
    {
        std::vector<std::string> live;
        for (const auto& [name, entry] : hosts)
        {
            if (entry.is_running)
            {
                live.push_back(name);
            }
        }
        for (auto& [name, entry] : hosts)
        {
            entry.live = live;
        }
    }

    void add_racks(int count, int targets_per_rack = 2)
    {
        for (int n = 0; n < count; ++n)
        {
            for (int slot = 0; slot < targets_per_rack; ++slot)
            {
                host_entry entry;
                entry.rack = "r" + std::to_string(n);
                entry.name = entry.rack + "-t" + std::to_string(slot);
                entry.role = "target";
                entry.data_center = "a";
                listed.push_back(entry);
                targets[entry.name] = target{};
            }
        }
    }

    /// Advances the virtual time in steps of 50 ms and lets every running host
    /// that is not paused decide at each step.
    void run_for(milliseconds time)
    {
        const time_point end = now + time;
        while (now < end)
        {
            now += milliseconds(50);
            for (auto& [name, entry] : hosts)
            {
                if (entry.is_running && !entry.is_paused)
                {
                    tick(name);
                }
            }
        }
    }

    void tick(const std::string& name)
    {
        host& ticking = hosts.at(name);
        update_hosts(ticking.state, listed, now);
        update_members(ticking.state, digests(name), ticking.live);
        for (const ownership_action& action : decide(ticking.state, now))
        {
            execute(name, action);
        }
        collect_events(name);
        renew(name);
    }

    /// Moves the events to the history and records the owner of every token
    /// for `has_unique_tokens`.
    void collect_events(const std::string& name)
    {
        host& entry = hosts.at(name);
        for (const ownership_event& event : entry.state.events)
        {
            entry.history.push_back(event);
            if (event.change == ownership_change::acquired &&
                !event.rack.claims_only)
            {
                owners[{event.rack.rack, event.rack.token.epoch}].insert(name);
            }
        }
        entry.state.events.clear();
    }

    /// Returns the running host that owns a rack, or `none` or `several`.
    std::string owner(const std::string& rack) const
    {
        std::string found = "none";
        for (const auto& [name, entry] : hosts)
        {
            const auto it = entry.state.racks.find({"a", rack});
            if (entry.is_running && it != entry.state.racks.end() &&
                it->second.owned)
            {
                found = found == "none" ? name : "several";
            }
        }
        return found;
    }

    /// Returns the ownership of a rack by a host, or null if it has none.
    const owned_rack* owned(const std::string& name,
                            const std::string& rack) const
    {
        const rack_record& record = hosts.at(name).state.racks.at({"a", rack});
        return record.owned ? &*record.owned : nullptr;
    }

    /// Returns how many changes of one kind a host has reported.
    int count(const std::string& name, ownership_change change) const
    {
        int result = 0;
        for (const ownership_event& event : hosts.at(name).history)
        {
            result += event.change == change ? 1 : 0;
        }
        return result;
    }

    /// Returns whether no two hosts acquired a rack with the same epoch, apart
    /// from ownership that is based on claims.
    bool has_unique_tokens() const
    {
        for (const auto& [token, names] : owners)
        {
            if (names.size() > 1)
            {
                return false;
            }
        }
        return true;
    }

    /// Returns the racks for which rendezvous hashing prefers a host.
    std::vector<std::string> racks_of(const std::string& name) const
    {
        std::vector<std::string> result;
        for (const auto& [id, record] : hosts.at(name).state.racks)
        {
            if (preferred_host(id, hosts.at(name).live) == name)
            {
                result.push_back(id.rack);
            }
        }
        return result;
    }

    rack_release send_release(const std::string& sender,
                              const std::string& name, const std::string& rack,
                              std::int64_t epoch, bool offer = false)
    {
        rack_release message;
        message.rack = rack;
        message.data_center = "a";
        message.epoch = epoch;
        message.released = offer;
        const rack_release reply =
            on_release_requested(hosts.at(name).state, sender, message, now);
        collect_events(name);
        return reply;
    }

    void deliver_delayed_reads(const std::string& name)
    {
        host& entry = hosts.at(name);
        entry.delays_reads = false;
        for (const auto& [action, row] : entry.delayed_reads)
        {
            on_row_read(entry.state, action, row, now);
        }
        entry.delayed_reads.clear();
        collect_events(name);
    }

    time_point now{std::chrono::hours(1)};
    store_mode mode = store_mode::up;
    std::map<std::string, host> hosts;
    std::map<std::string, store_row> rows;
    std::map<std::string, target> targets;
    std::vector<host_entry> listed;
    std::map<std::pair<std::string, std::int64_t>, std::set<std::string>>
        owners;
    std::map<std::string, commit_result> transactions;
    int writes = 0;
    int reads = 0;
    bool renews = true; ///< owners renew the leases of the targets

private:
    std::vector<member_digest> digests(const std::string& observer) const
    {
        std::vector<member_digest> result;
        for (const auto& [name, entry] : hosts)
        {
            member_digest digest;
            digest.name = name;
            digest.data_center = "a";
            digest.state = entry.is_running ? "alive" : "dead";
            const std::vector<std::string>& live = hosts.at(observer).live;
            const bool is_live =
                std::find(live.begin(), live.end(), name) != live.end();
            for (const auto& [id, record] : entry.state.racks)
            {
                if (record.owned && name != observer && is_live)
                {
                    rack_summary summary;
                    summary.rack = id.rack;
                    summary.epoch = record.owned->token.epoch;
                    digest.racks.push_back(summary);
                }
            }
            result.push_back(digest);
        }
        return result;
    }

    store_row row_of(const std::string& key) const
    {
        const auto it = rows.find(key);
        return it == rows.end() ? store_row{key, 0, ""} : it->second;
    }

    absl::Status failure() const
    {
        return make_error(mode == store_mode::down
                              ? error_kind::unavailable
                              : error_kind::deadline_exceeded,
                          "the store does not answer");
    }

    commit_result commit(const store_transaction& transaction)
    {
        const auto it = transactions.find(transaction.tx_id);
        if (it != transactions.end())
        {
            return it->second;
        }
        commit_result result;
        const store_row current = row_of(transaction.checks[0].key);
        if (current.version != transaction.checks[0].version)
        {
            result.conflicts.push_back(current);
        }
        else
        {
            result.committed = true;
            ++writes;
            rows[current.key] = {current.key, current.version + 1,
                                 transaction.writes[0].value};
        }
        transactions[transaction.tx_id] = result;
        return result;
    }

    void execute(const std::string& name, const ownership_action& action)
    {
        host& entry = hosts.at(name);
        const bool is_up = entry.reaches_store && mode != store_mode::down;
        switch (action.call)
        {
        case ownership_call::read_row:
            read(entry, action, is_up);
            break;
        case ownership_call::scan_rows:
            scan(entry, is_up);
            break;
        case ownership_call::write_row:
            write(entry, action, is_up);
            break;
        case ownership_call::claim_target:
            on_target_claimed(entry.state, action, claim(action), now);
            break;
        case ownership_call::request_release:
            release(entry, action);
            break;
        }
    }

    void read(host& entry, const ownership_action& action, bool is_up)
    {
        ++reads;
        absl::StatusOr<store_row> row = failure();
        if (is_up)
        {
            row = row_of(owner_row_key(action.rack));
        }
        if (entry.delays_reads)
        {
            entry.delayed_reads.emplace_back(action, row);
            return;
        }
        on_row_read(entry.state, action, row, now);
    }

    void scan(host& entry, bool is_up)
    {
        if (!is_up)
        {
            on_rows_scanned(entry.state, failure(), now);
            return;
        }
        std::vector<store_row> all;
        for (const auto& [key, row] : rows)
        {
            all.push_back(row);
        }
        on_rows_scanned(entry.state, all, now);
    }

    void write(host& entry, const ownership_action& action, bool is_up)
    {
        if (!is_up || mode == store_mode::loses_writes)
        {
            on_row_written(entry.state, action, failure(), now);
            return;
        }
        const commit_result result = commit(action.transaction);
        if (mode == store_mode::loses_replies)
        {
            on_row_written(entry.state, action, failure(), now);
            return;
        }
        on_row_written(entry.state, action, result, now);
    }

    absl::StatusOr<fencing_token> claim(const ownership_action& action)
    {
        target& claimed = targets.at(action.target.name);
        if (now < claimed.lease_until)
        {
            return make_error(error_kind::conflict, "the lease is valid");
        }
        claimed.token.epoch = std::max(claimed.token.epoch, action.epoch);
        ++claimed.token.term;
        claimed.lease_until = now + milliseconds(6000);
        return claimed.token;
    }

    void release(host& entry, const ownership_action& action)
    {
        host& other = hosts.at(action.host);
        if (!other.is_running || other.is_paused)
        {
            on_release_answered(
                entry.state, action,
                make_error(error_kind::deadline_exceeded, "no answer"), now);
            return;
        }
        const rack_release reply =
            send_release(entry.state.options.name, action.host,
                         action.rack.rack, action.epoch);
        on_release_answered(entry.state, action, reply, now);
    }

    void renew(const std::string& name)
    {
        for (const auto& [id, record] : hosts.at(name).state.racks)
        {
            if (!renews || !record.owned)
            {
                continue;
            }
            for (const host_entry& listed_target : record.owned->targets)
            {
                const auto it = record.owned->claims.find(listed_target.name);
                if (record.owned->claims_only &&
                    it == record.owned->claims.end())
                {
                    continue;
                }
                const fencing_token token = it == record.owned->claims.end()
                                                ? record.owned->token
                                                : it->second;
                target& renewed = targets.at(listed_target.name);
                if (!(token < renewed.token))
                {
                    renewed.token = token;
                    renewed.lease_until = now + milliseconds(6000);
                }
            }
        }
    }
};

} // namespace egretspindle::test

#endif
