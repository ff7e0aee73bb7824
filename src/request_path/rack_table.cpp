#include "egretspindle/request_path/rack_table.hpp"

namespace egretspindle
{

rack_table::rack_table(rack_options options, rack_hooks hooks)
    : options_(std::move(options)), hooks_(std::move(hooks))
{
}

void rack_table::acquire(const owned_rack& rack)
{
    std::shared_ptr<rack_runtime> runtime = find(rack.rack);
    if (runtime)
    {
        runtime->update(rack);
        return;
    }
    runtime = std::make_shared<rack_runtime>(options_, hooks_, rack);
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        racks_[rack.rack] = runtime;
    }
    runtime->start();
}

void rack_table::update(const owned_rack& rack)
{
    if (const std::shared_ptr<rack_runtime> runtime = find(rack.rack))
    {
        runtime->update(rack);
    }
}

void rack_table::release(const rack_id& rack)
{
    std::shared_ptr<rack_runtime> runtime;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        const auto it = racks_.find(rack.rack);
        if (it == racks_.end())
        {
            return;
        }
        runtime = it->second;
        racks_.erase(it);
    }
    runtime->stop();
    const std::lock_guard<std::mutex> lock(mutex_);
    past_[rack.rack] = {steady_clock::now(), runtime->renewals()};
}

void rack_table::stop()
{
    for (const std::shared_ptr<rack_runtime>& runtime : all())
    {
        runtime->stop();
    }
}

std::shared_ptr<rack_runtime> rack_table::find(const std::string& rack) const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto it = racks_.find(rack);
    return it == racks_.end() ? nullptr : it->second;
}

std::vector<std::shared_ptr<rack_runtime>> rack_table::all() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    std::vector<std::shared_ptr<rack_runtime>> runtimes;
    for (const auto& [name, runtime] : racks_)
    {
        runtimes.push_back(runtime);
    }
    return runtimes;
}

std::vector<target_renewal> rack_table::renewals(const rack_id& rack) const
{
    if (const std::shared_ptr<rack_runtime> runtime = find(rack.rack))
    {
        return runtime->renewals();
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto it = past_.find(rack.rack);
    if (it == past_.end())
    {
        return {};
    }
    std::vector<target_renewal> renewals = it->second.renewals;
    for (target_renewal& renewal : renewals)
    {
        renewal.age_ms += elapsed_ms(it->second.taken, steady_clock::now());
    }
    return renewals;
}

} // namespace egretspindle
