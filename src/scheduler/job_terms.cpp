#include "job_terms.hpp"

#include <utility>

namespace egretspindle
{

queue_terms find_queue_terms(const fleet_config& config, std::string_view queue)
{
    queue_terms terms;
    const queue_config* found = find_queue_named(config, queue);
    if (found == nullptr)
    {
        return terms;
    }
    terms.service = found->service;
    terms.priority = found->priority;
    terms.max_attempts = found->max_attempts;
    terms.stretch = found->stretch;
    terms.target_duration_ms = found->target_duration_ms;
    terms.config_version = config.version;
    return terms;
}

queue_terms terms_in_effect(const job& value, const fleet_config& config)
{
    if (config.version >= value.terms.config_version)
    {
        queue_terms configured = find_queue_terms(config, value.queue);
        if (!configured.service.empty())
        {
            return configured;
        }
    }
    return config.version == 0 ? queue_terms{} : value.terms;
}

bool update_terms(job& value, const fleet_config& config)
{
    const bool is_current = !value.terms.service.empty() &&
                            value.terms.config_version >= config.version;
    if (is_current || value.outcome != job_outcome::open)
    {
        return false;
    }
    queue_terms terms = terms_in_effect(value, config);
    if (terms.service.empty())
    {
        return false;
    }
    const bool is_changed = terms.service != value.terms.service ||
                            terms.max_attempts != value.terms.max_attempts;
    value.terms = std::move(terms);
    return is_changed;
}

} // namespace egretspindle
