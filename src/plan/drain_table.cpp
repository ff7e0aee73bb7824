#include "egretspindle/plan/drain_table.hpp"

namespace egretspindle
{

bool drain_table::is_drained(const std::string& target) const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return targets_.count(target) > 0;
}

std::vector<drained_target> drain_table::all() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    std::vector<drained_target> result;
    for (const auto& [name, target] : targets_)
    {
        result.push_back(target);
    }
    return result;
}

void drain_table::assign(const std::vector<drained_target>& targets)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    targets_.clear();
    for (const drained_target& target : targets)
    {
        if (target.drained)
        {
            targets_[target.target] = target;
        }
    }
}

void drain_table::apply(const drained_target& target)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    if (target.drained)
    {
        targets_[target.target] = target;
    }
    else
    {
        targets_.erase(target.target);
    }
}

} // namespace egretspindle
