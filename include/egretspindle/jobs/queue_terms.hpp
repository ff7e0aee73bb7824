/// \file
/// Terms of a queue under which its jobs run.

#ifndef EGRETSPINDLE_JOBS_QUEUE_TERMS_HPP
#define EGRETSPINDLE_JOBS_QUEUE_TERMS_HPP

#include <cstdint>
#include <string>

namespace egretspindle
{

/// Terms of a queue in one version of the configuration. They are part of the
/// record of a job, so that an accepted job can be completed after its queue
/// has been removed.
struct queue_terms
{
    std::string service;       ///< see `queue_config`; empty: not known
    std::int64_t priority = 0; ///< see `queue_config`
    std::int64_t max_attempts = 1;
    double stretch = 1.0;
    std::int64_t target_duration_ms = 0;
    std::int64_t config_version = 0; ///< that the terms were last part of
};

/// Visits the fields of `queue_terms` for the codec.
template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const queue_terms* /*tag*/)
{
    visit("service", value.service);
    visit("priority", value.priority);
    visit("max_attempts", value.max_attempts);
    visit("stretch", value.stretch);
    visit("target_duration_ms", value.target_duration_ms);
    visit("config_version", value.config_version);
}

} // namespace egretspindle

#endif
