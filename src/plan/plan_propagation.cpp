#include "egretspindle/plan/plan_propagation.hpp"

#include "egretspindle/plan/plan_query.hpp"
#include "egretspindle/protocol/message_type.hpp"
#include "egretspindle/protocol/peer_client.hpp"

#include <algorithm>

namespace egretspindle
{

namespace
{

// Short, since the member list is local and reading it sends no message.
constexpr std::chrono::milliseconds member_check_period{100};
// Bounds the time of one `poll_peers` when no peer answers.
constexpr std::size_t max_peers_per_round = 3;

bool is_running(const member_digest& member)
{
    return member.state == "alive" || member.state == "leaving";
}

} // namespace

plan_propagation::plan_propagation(plan_store& store, rpc_client& peers,
                                   list_members_function members,
                                   plan_table& table, drain_table& drains,
                                   const plan_service_options& options)
    : store_(store), peers_(peers), members_(std::move(members)), table_(table),
      drains_(drains), options_(options),
      started_(std::chrono::steady_clock::now())
{
}

plan_propagation::~plan_propagation()
{
    stop();
}

void plan_propagation::start()
{
    started_ = std::chrono::steady_clock::now();
    thread_ = std::thread([this] { run(); });
}

void plan_propagation::stop()
{
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        is_stopping_ = true;
    }
    wake_condition_.notify_all();
    if (thread_.joinable())
    {
        thread_.join();
    }
}

void plan_propagation::wake()
{
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        is_wake_requested_ = true;
    }
    wake_condition_.notify_all();
}

void plan_propagation::run()
{
    std::chrono::steady_clock::time_point next_poll = started_;
    std::unique_lock<std::mutex> lock(mutex_);
    while (!is_stopping_)
    {
        lock.unlock();
        poll_peers();
        if (std::chrono::steady_clock::now() >= next_poll)
        {
            if (poll_store().ok())
            {
                poll_drains();
            }
            next_poll = std::chrono::steady_clock::now() + options_.poll_period;
        }
        lock.lock();
        wake_condition_.wait_for(
            lock, member_check_period,
            [this] { return is_stopping_ || is_wake_requested_; });
        is_wake_requested_ = false;
    }
}

absl::StatusOr<accepted_row> plan_propagation::poll_store()
{
    absl::StatusOr<accepted_row> accepted = store_.read_accepted();
    if (!accepted.ok() || accepted->version == 0 || !is_offer_needed(*accepted))
    {
        return accepted;
    }
    const absl::StatusOr<plan_record> record =
        store_.read_record(accepted->version);
    if (!record.ok())
    {
        return record.status();
    }
    static_cast<void>(table_.offer(record->plan));
    return accepted;
}

// A different document with the version in force is offered as well, so that
// the table refuses it and logs the conflict.
bool plan_propagation::is_offer_needed(const accepted_row& accepted) const
{
    const std::shared_ptr<const plan_in_force> plan = table_.current();
    return plan == nullptr || accepted.version > plan->accepted.version ||
           (accepted.version == plan->accepted.version &&
            accepted.digest != plan->accepted.digest);
}

void plan_propagation::poll_drains()
{
    const absl::StatusOr<std::vector<drained_target>> drains =
        store_.read_drains();
    if (drains.ok())
    {
        drains_.assign(*drains);
    }
}

bool plan_propagation::may_use_peers() const
{
    return table_.version() > 0 ||
           std::chrono::steady_clock::now() - started_ >=
               options_.first_plan_delay;
}

void plan_propagation::poll_peers()
{
    if (!may_use_peers())
    {
        return;
    }
    std::vector<member_digest> newer_members = members_();
    const std::int64_t version = table_.version();
    newer_members.erase(
        std::remove_if(newer_members.begin(), newer_members.end(),
                       [version](const member_digest& member) {
                           return member.plan_version <= version ||
                                  !is_running(member);
                       }),
        newer_members.end());
    if (newer_members.empty())
    {
        return;
    }
    // Highest version first. Among equal versions, each call starts with
    // another peer, so that one that does not answer does not block the others.
    const std::size_t first = next_peer_++ % newer_members.size();
    std::rotate(newer_members.begin(),
                newer_members.begin() + static_cast<std::ptrdiff_t>(first),
                newer_members.end());
    std::stable_sort(newer_members.begin(), newer_members.end(),
                     [](const member_digest& lhs, const member_digest& rhs)
                     { return lhs.plan_version > rhs.plan_version; });
    newer_members.resize(std::min(newer_members.size(), max_peers_per_round));
    for (const member_digest& member : newer_members)
    {
        const absl::StatusOr<accepted_plan> plan = call_peer<accepted_plan>(
            peers_, member.address, message_type::get_plan,
            plan_query{member.plan_version}, options_.peer_timeout);
        if (plan.ok())
        {
            static_cast<void>(table_.offer(*plan));
        }
        if (table_.version() >= member.plan_version)
        {
            return;
        }
    }
}

} // namespace egretspindle
