#include "egretspindle/fleet/fleet_config.hpp"

namespace egretspindle
{

const queue_config* find_queue(const fleet_config& config,
                               std::string_view host, std::string_view path)
{
    const queue_config* found = nullptr;
    for (const queue_config& queue : config.queues)
    {
        const bool matches =
            queue.host == host &&
            path.substr(0, queue.path_prefix.size()) == queue.path_prefix;
        if (matches && (found == nullptr ||
                        queue.path_prefix.size() > found->path_prefix.size()))
        {
            found = &queue;
        }
    }
    return found;
}

const queue_config* find_queue_named(const fleet_config& config,
                                     std::string_view name)
{
    for (const queue_config& queue : config.queues)
    {
        if (queue.name == name)
        {
            return &queue;
        }
    }
    return nullptr;
}

} // namespace egretspindle
