/// \file
/// Job in the memory of its coordinator.

#ifndef EGRETSPINDLE_SRC_SCHEDULER_JOB_ENTRY_HPP
#define EGRETSPINDLE_SRC_SCHEDULER_JOB_ENTRY_HPP

#include "egretspindle/core/clock.hpp"
#include "egretspindle/jobs/job_machine.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace egretspindle
{

/// What has been said to the owner of a rack about a run.
struct sent_run
{
    std::int64_t run = 0;
    std::uint64_t change = 0; ///< number of the change that assigned it
    std::int64_t confirmed_token = 0;
    time_point sent_at; ///< time_point{}: not sent, or undelivered
    /// Times that the start was sent, less those that surely reached nobody.
    int possible_deliveries = 0;
    time_point stop_sent_at;   ///< time_point{}: no stop sent
    bool is_inherited = false; ///< read from the store
};

/// Conclusion of the owner of a rack that the next write contains.
struct relied_owner
{
    std::int64_t token = 0;   ///< of its ownership
    std::uint64_t change = 0; ///< latest change that relies on it
};

/// Job with the state of its record.
struct job_entry
{
    job value;
    std::string shard;
    std::string encoded_spec;
    std::int64_t version = 0;  ///< of the row; 0: not written yet
    std::uint64_t changes = 1; ///< number of the latest change
    std::uint64_t durable = 0; ///< number of the latest change in the row
    bool is_writing = false;
    bool is_uncertain = false; ///< an unanswered write may take effect
    bool is_refused = false;   ///< given up; nothing of it is or will be stored
    bool is_queued = false;    ///< in the queue of the writers
    bool is_accepted_here = false; ///< not read from the store
    time_point created_at;
    time_point no_rack_logged_at; ///< {}: never
    std::string shown;            ///< state as of the row; empty: no row yet
    std::map<std::string, sent_run> sent; ///< by task
    /// When a rack handed a task of a step back, by step and rack.
    std::map<std::pair<std::string, std::string>, time_point> handed_back;
    /// Owners whose conclusions are not durable yet, by rack.
    std::map<std::string, relied_owner> relied;
};

} // namespace egretspindle

#endif
