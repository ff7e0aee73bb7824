/// \file
/// Mix of a target, kept until something that it depends on changes.

#ifndef EGRETSPINDLE_RACK_CACHED_MIX_HPP
#define EGRETSPINDLE_RACK_CACHED_MIX_HPP

#include "egretspindle/fleet/target_entry.hpp"
#include "egretspindle/rack/interference_model.hpp"
#include "egretspindle/rack/queued_start.hpp"
#include "egretspindle/rack/target_mix.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace egretspindle
{

/// What the mix of a target depends on in one of its runs.
struct mixed_run
{
    std::shared_ptr<const step_terms> terms;
    double headroom = 0;         ///< predicted, of a serving task
    std::int64_t used_milli = 0; ///< of any other task
    std::int64_t percent = 0;    ///< speed of a task on idle processors
};

/// What the mixes of all targets of a rack depend on in the pressure model.
struct mix_basis
{
    std::uint64_t number = 0; ///< rises with each change; 0: not known yet
    std::uint64_t version = 0;
    std::map<std::string, double> reserved_shares;
};

/// Mix and free room of a target with all that they were made from.
///
/// The owner of a rack decides at each answer to a poll, and at most the target
/// that answered has changed then.
struct cached_mix
{
    target_mix mix;
    task_size room;       ///< left by reservations
    bool is_open = false; ///< the target accepts starts
    /// Value of `rack_state::mix_changes` at the latest change that may let the
    /// target take a start which it could not take before.
    std::uint64_t changed_at = 0;
    std::uint64_t basis = 0; ///< `mix_basis::number`
    std::vector<mixed_run> runs;
    task_size capacity;
    std::string service;
    std::vector<std::string> labels;
};

} // namespace egretspindle

#endif
