#include "egretspindle/request_path/rack_runtime.hpp"

#include "egretspindle/logging/log.hpp"
#include "egretspindle/placement/choose_racks.hpp"

#include <algorithm>

namespace egretspindle
{

namespace
{

constexpr std::size_t max_reporters = 8;

resources capacity_of(const host_entry& entry)
{
    return {entry.cpu_cores, entry.memory_mb, entry.accelerators};
}

} // namespace

rack_runtime::rack_runtime(rack_options options, rack_hooks hooks,
                           const owned_rack& rack)
    : options_(std::move(options)), hooks_(std::move(hooks)),
      started_(steady_clock::now()), rng_(std::random_device{}()),
      watchers_(options_.max_watchers), reporters_(max_reporters)
{
    load_.rack = rack.rack;
    const std::lock_guard<std::mutex> lock(mutex_);
    apply_targets(rack);
}

rack_runtime::~rack_runtime()
{
    stop();
}

void rack_runtime::start()
{
    const std::lock_guard<std::mutex> lock(mutex_);
    for (const auto& [name, session] : sessions_)
    {
        if (!session->thread.joinable())
        {
            session->thread =
                std::thread([this, session = session] { renew_loop(session); });
        }
    }
    if (!maintenance_thread_.joinable())
    {
        maintenance_thread_ = std::thread([this] { maintenance_loop(); });
    }
}

void rack_runtime::stop()
{
    std::vector<std::thread> threads;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        is_stopping_ = true;
        for (const auto& [name, session] : sessions_)
        {
            session->is_stopping = true;
            threads.push_back(std::move(session->thread));
        }
        threads.push_back(std::move(maintenance_thread_));
        changed_.notify_all();
    }
    for (std::thread& thread : threads)
    {
        if (thread.joinable())
        {
            thread.join();
        }
    }
    watchers_.stop();
    reporters_.stop();
}

void rack_runtime::update(const owned_rack& rack)
{
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (is_stopping_)
        {
            return;
        }
        apply_targets(rack);
        changed_.notify_all();
    }
    start();
}

void rack_runtime::apply_targets(const owned_rack& rack)
{
    rack_ = rack;
    std::vector<std::string> names;
    for (const host_entry& entry : rack.targets)
    {
        names.push_back(entry.name);
        session_ptr& session = sessions_[entry.name];
        if (!session)
        {
            session = std::make_shared<target_session>();
        }
        if (!session->client || session->entry.address != entry.address)
        {
            absl::StatusOr<std::unique_ptr<target_client>> client =
                hooks_.make_client(entry.address);
            if (!client.ok())
            {
                log_warning(
                    "target address is invalid",
                    {{"target", entry.name},
                     {"error", std::string(client.status().message())}});
                sessions_.erase(entry.name);
                continue;
            }
            session->client = *std::move(client);
        }
        session->entry = entry;
        const auto claim = rack.claims.find(entry.name);
        session->may_command = !rack.claims_only || claim != rack.claims.end();
        session->token =
            claim == rack.claims.end() ? rack.token : claim->second;
        target_load* load = load_of(entry.name);
        if (load == nullptr)
        {
            load_.targets.push_back({});
            load = &load_.targets.back();
            load->name = entry.name;
            load->reachable = false;
        }
        load->capacity = capacity_of(entry);
        load->slots = entry.slots;
        load->connections = entry.connections;
        load->leaving =
            entry.state == "leaving" || hooks_.is_leaving_by_plan(entry.name);
    }
    for (target_load& load : load_.targets)
    {
        if (std::find(names.begin(), names.end(), load.name) == names.end())
        {
            load.leaving = true;
        }
    }
    set_targets(health_, names);
}

rack_runtime::session_ptr
rack_runtime::session_of(const std::string& target) const
{
    const auto it = sessions_.find(target);
    return it == sessions_.end() ? nullptr : it->second;
}

target_load* rack_runtime::load_of(const std::string& target)
{
    for (target_load& load : load_.targets)
    {
        if (load.name == target)
        {
            return &load;
        }
    }
    return nullptr;
}

task_load* rack_runtime::task_load_of(const attempt_id& id,
                                      const std::string& target)
{
    target_load* load = load_of(target);
    if (load == nullptr)
    {
        return nullptr;
    }
    for (task_load& task : load->tasks)
    {
        if (task.key == id.first && task.attempt == id.second)
        {
            return &task;
        }
    }
    return nullptr;
}

void rack_runtime::remove_load(const attempt_id& id, const std::string& target)
{
    target_load* load = load_of(target);
    if (load == nullptr)
    {
        return;
    }
    load->tasks.erase(std::remove_if(load->tasks.begin(), load->tasks.end(),
                                     [&id](const task_load& task) {
                                         return task.key == id.first &&
                                                task.attempt == id.second;
                                     }),
                      load->tasks.end());
    place_waiting();
    changed_.notify_all();
}

// Returns the local time by which all leases that the target may hold have
// expired. It is later than `now` while an earlier owner may renew them.
time_point rack_runtime::latest_lease_expiry(const target_session& session,
                                             time_point now) const
{
    // A target that has responded rejects the tokens of all earlier owners.
    if (session.has_contact || rack_.previous_owner.empty())
    {
        return session.leases_expired_by;
    }
    if (rack_.previous_released)
    {
        time_point base = rack_.released_at;
        for (const target_renewal& renewal : rack_.previous_renewals)
        {
            if (renewal.target == session.entry.name)
            {
                base = rack_.released_at - milliseconds(renewal.age_ms);
            }
        }
        return std::max(session.leases_expired_by,
                        local_lease_expiry(base, options_));
    }
    const auto it = unlisted_since_.find(rack_.previous_owner);
    if (it != unlisted_since_.end())
    {
        return std::max(session.leases_expired_by,
                        local_lease_expiry(it->second, options_));
    }
    return now + options_.lease;
}

bool rack_runtime::knows_all_attempts() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    const time_point now = steady_clock::now();
    return std::all_of(sessions_.begin(), sessions_.end(),
                       [&](const auto& item)
                       {
                           const target_session& session = *item.second;
                           return session.has_contact ||
                                  latest_lease_expiry(session, now) <= now;
                       });
}

rack_summary rack_runtime::summary() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return summarize(load_, model_, rack_.token.epoch,
                     static_cast<int>(urgent_queue_.items.size()),
                     steady_clock::now());
}

std::vector<target_renewal> rack_runtime::renewals() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    const time_point now = steady_clock::now();
    std::vector<target_renewal> all;
    for (const auto& [name, session] : sessions_)
    {
        if (session->leases_expired_by != time_point())
        {
            all.push_back(
                {name, elapsed_ms(session->last_renewal_reading, now)});
        }
    }
    return all;
}

rack_load rack_runtime::load() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return load_;
}

std::map<std::string, int> rack_runtime::evictions() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return evictions_;
}

} // namespace egretspindle
