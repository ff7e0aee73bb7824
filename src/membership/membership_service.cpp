#include "egretspindle/membership/membership_service.hpp"

#include "egretspindle/core/error.hpp"
#include "egretspindle/membership/member_row.hpp"
#include "egretspindle/membership/membership_update.hpp"
#include "egretspindle/membership/membership_view.hpp"
#include "egretspindle/membership/probe_schedule.hpp"
#include "egretspindle/protocol/message_type.hpp"
#include "egretspindle/protocol/peer_client.hpp"

#include <fmt/format.h>

#include <atomic>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>

namespace egretspindle
{

namespace
{

constexpr milliseconds tick_period{50};
// Each sender thread can be blocked for the timeout of a probe.
constexpr int sender_count = 6;
// Bounds the queue while many hosts do not answer. Dropped probes are repeated
// by the schedule.
constexpr std::size_t max_queued_actions = 64;
constexpr milliseconds row_call_timeout{500};
constexpr int row_page_size = 200;
constexpr std::size_t leave_fanout = 5;

ping_transport make_rpc_transport(rpc_client& client)
{
    return [&client](const std::string& address, std::string_view type,
                     const ping_message& message, milliseconds timeout)
    {
        return call_peer<ping_message>(client, address, type, message, timeout);
    };
}

} // namespace

struct membership_service::impl
{
    impl(membership_options initial_options, ping_transport sender,
         std::function<member_digest()> describe, store_client* rows)
        : transport(std::move(sender)), describe_self(std::move(describe)),
          store(rows), state(make_membership_state(std::move(initial_options),
                                                   steady_clock::now())),
          options(state.options)
    {
    }

    void run_ticks()
    {
        time_point next_describe{};
        while (!is_stopped)
        {
            if (steady_clock::now() >= next_describe)
            {
                next_describe = steady_clock::now() + options.probe_period;
                const member_digest described = describe_self();
                const std::lock_guard<std::mutex> lock(mutex);
                update_self(state, described);
            }
            std::vector<probe_action> due;
            {
                const std::lock_guard<std::mutex> lock(mutex);
                due = advance(state, steady_clock::now());
            }
            enqueue(std::move(due));
            report_changes();
            std::unique_lock<std::mutex> lock(queue_mutex);
            stop_signal.wait_for(lock, tick_period,
                                 [this] { return is_stopped.load(); });
        }
    }

    void run_sender()
    {
        while (true)
        {
            probe_action action;
            {
                std::unique_lock<std::mutex> lock(queue_mutex);
                queue_signal.wait(lock, [this]
                                  { return is_stopped || !queue.empty(); });
                if (is_stopped)
                {
                    return;
                }
                action = std::move(queue.front());
                queue.pop_front();
            }
            enqueue(send(action));
            report_changes();
        }
    }

    void run_rows()
    {
        while (!is_stopped)
        {
            bool is_alone = false;
            if (is_row_written || write_own_row())
            {
                is_row_written = true;
            }
            read_rows();
            {
                const std::lock_guard<std::mutex> lock(mutex);
                is_alone = state.members.empty();
            }
            // A host without other members depends on the rows to join, and a
            // row that is not yet written is retried.
            const milliseconds pause = is_alone || !is_row_written
                                           ? milliseconds(2000)
                                           : options.row_period;
            std::unique_lock<std::mutex> lock(queue_mutex);
            stop_signal.wait_for(lock, pause,
                                 [this] { return is_stopped.load(); });
        }
    }

    bool write_own_row()
    {
        const std::string key =
            member_row_key(options.data_center, options.name);
        const absl::StatusOr<store_row> row =
            store->read(key, row_call_timeout);
        if (!row.ok())
        {
            return false;
        }
        const std::string value =
            to_json(member_row{options.name, options.address});
        if (row->value == value)
        {
            return true;
        }
        store_transaction transaction;
        transaction.tx_id = fmt::format("member-{}-{}-{}", options.name,
                                        options.incarnation, row->version);
        transaction.checks.push_back({key, row->version});
        transaction.writes.push_back({key, value, false});
        const absl::StatusOr<commit_result> result =
            store->commit(transaction, row_call_timeout);
        return result.ok() && result->committed;
    }

    void read_rows()
    {
        std::string after;
        while (!is_stopped)
        {
            const absl::StatusOr<std::vector<store_row>> rows =
                store->scan(std::string(member_row_prefix), after,
                            row_page_size, row_call_timeout);
            if (!rows.ok())
            {
                return;
            }
            const std::lock_guard<std::mutex> lock(mutex);
            if (after.empty())
            {
                // Addresses of deleted rows are no longer contacted.
                state.contacts.clear();
                state.contacts.insert(options.seeds.begin(),
                                      options.seeds.end());
            }
            for (const store_row& row : *rows)
            {
                add_contact(row);
            }
            if (rows->size() < static_cast<std::size_t>(row_page_size))
            {
                return;
            }
            after = rows->back().key;
        }
    }

    void add_contact(const store_row& row)
    {
        const absl::StatusOr<member_row> contact =
            from_json<member_row>(row.value);
        if (!contact.ok() || contact->name == options.name)
        {
            return;
        }
        const auto it = options.address_overrides.find(contact->name);
        state.contacts.insert(it == options.address_overrides.end()
                                  ? contact->address
                                  : it->second);
    }

    std::vector<probe_action> send(const probe_action& action)
    {
        const absl::StatusOr<ping_message> reply = transport(
            action.address,
            action.kind == probe_kind::indirect ? message_type::ping_request
                                                : message_type::ping,
            action.message, action.timeout);
        const std::lock_guard<std::mutex> lock(mutex);
        const time_point now = steady_clock::now();
        if (reply.ok())
        {
            handle_probe_reply(state, action, *reply, now);
            return {};
        }
        return handle_probe_failure(state, action, now);
    }

    void enqueue(std::vector<probe_action> actions)
    {
        if (actions.empty())
        {
            return;
        }
        std::vector<probe_action> dropped;
        {
            const std::lock_guard<std::mutex> lock(queue_mutex);
            for (probe_action& action : actions)
            {
                if (queue.size() < max_queued_actions)
                {
                    queue.push_back(std::move(action));
                }
                else if (action.kind == probe_kind::indirect)
                {
                    dropped.push_back(std::move(action));
                }
            }
        }
        queue_signal.notify_all();
        const std::lock_guard<std::mutex> lock(mutex);
        for (const probe_action& action : dropped)
        {
            // Indirect probes that were not sent must not lead to a suspicion.
            state.pending_indirect_probes.erase(action.message.target);
        }
    }

    void report_changes()
    {
        const std::lock_guard<std::mutex> order(listener_mutex);
        std::vector<member_change> changes;
        {
            const std::lock_guard<std::mutex> lock(mutex);
            changes.swap(state.changes);
        }
        if (listener)
        {
            for (const member_change& change : changes)
            {
                listener(change);
            }
        }
    }

    ping_transport transport;
    std::function<member_digest()> describe_self;
    store_client* store;
    std::function<void(const member_change&)> listener;
    std::mutex listener_mutex; // held during calls, to keep their order
    mutable std::mutex mutex;
    membership_state state;
    const membership_options options;
    bool is_row_written = false; // used by the row thread only
    std::mutex queue_mutex;
    std::condition_variable queue_signal;
    std::condition_variable stop_signal;
    std::deque<probe_action> queue;
    std::atomic<bool> is_stopped{false};
    std::vector<std::thread> threads;
};

membership_service::membership_service(
    membership_options options, rpc_client& client,
    std::function<member_digest()> describe_self, store_client* store)
    : membership_service(std::move(options), make_rpc_transport(client),
                         std::move(describe_self), store)
{
}

membership_service::membership_service(
    membership_options options, ping_transport transport,
    std::function<member_digest()> describe_self, store_client* store)
    : impl_(std::make_unique<impl>(std::move(options), std::move(transport),
                                   std::move(describe_self), store))
{
}

membership_service::~membership_service()
{
    stop();
}

void membership_service::on_change(
    std::function<void(const member_change&)> listener)
{
    impl_->listener = std::move(listener);
}

void membership_service::start()
{
    impl_->threads.emplace_back([this] { impl_->run_ticks(); });
    for (int n = 0; n < sender_count; ++n)
    {
        impl_->threads.emplace_back([this] { impl_->run_sender(); });
    }
    if (impl_->store != nullptr)
    {
        impl_->threads.emplace_back([this] { impl_->run_rows(); });
    }
}

void membership_service::stop()
{
    {
        const std::lock_guard<std::mutex> lock(impl_->queue_mutex);
        impl_->is_stopped = true;
    }
    impl_->queue_signal.notify_all();
    impl_->stop_signal.notify_all();
    for (std::thread& thread : impl_->threads)
    {
        thread.join();
    }
    impl_->threads.clear();
}

void membership_service::leave()
{
    std::vector<probe_action> actions;
    {
        const std::lock_guard<std::mutex> lock(impl_->mutex);
        start_leaving(impl_->state, steady_clock::now());
        actions =
            announce_changes(impl_->state, leave_fanout, steady_clock::now());
    }
    // In parallel, so that several members that do not answer delay the return
    // by one timeout only.
    std::vector<std::thread> senders;
    senders.reserve(actions.size());
    for (const probe_action& action : actions)
    {
        senders.emplace_back([this, &action] { (void)impl_->send(action); });
    }
    for (std::thread& sender : senders)
    {
        sender.join();
    }
    impl_->report_changes();
}

std::vector<member_digest> membership_service::members() const
{
    const std::lock_guard<std::mutex> lock(impl_->mutex);
    return all_digests(impl_->state, steady_clock::now());
}

std::vector<std::string>
membership_service::live_hosts(std::string_view data_center) const
{
    const std::lock_guard<std::mutex> lock(impl_->mutex);
    return live_host_names(impl_->state, data_center, steady_clock::now());
}

std::string membership_service::address_of(const std::string& name) const
{
    const std::lock_guard<std::mutex> lock(impl_->mutex);
    return egretspindle::address_of(impl_->state, name);
}

std::optional<member_digest>
membership_service::find(const std::string& name) const
{
    const std::lock_guard<std::mutex> lock(impl_->mutex);
    if (name == impl_->options.name)
    {
        return impl_->state.self;
    }
    const auto it = impl_->state.members.find(name);
    if (it == impl_->state.members.end())
    {
        return std::nullopt;
    }
    return effective_digest(impl_->state, it->second, steady_clock::now());
}

time_point membership_service::last_change(const std::string& data_center) const
{
    const std::lock_guard<std::mutex> lock(impl_->mutex);
    const auto it = impl_->state.last_change.find(data_center);
    return it == impl_->state.last_change.end() ? impl_->state.started
                                                : it->second;
}

bool membership_service::is_reachable(const std::string& data_center) const
{
    const std::lock_guard<std::mutex> lock(impl_->mutex);
    return egretspindle::is_reachable(impl_->state, data_center,
                                      steady_clock::now());
}

std::int64_t membership_service::process_incarnation() const noexcept
{
    return impl_->options.incarnation;
}

const membership_options& membership_service::options() const noexcept
{
    return impl_->options;
}

absl::StatusOr<ping_message>
membership_service::handle_ping(const std::string& sender,
                                const ping_message& message)
{
    const std::lock_guard<std::mutex> lock(impl_->mutex);
    return answer_ping(impl_->state, sender, message, steady_clock::now());
}

absl::StatusOr<ping_message>
membership_service::handle_ping_request(const std::string& sender,
                                        const ping_message& message)
{
    probe_action probe;
    {
        const std::lock_guard<std::mutex> lock(impl_->mutex);
        merge_message(impl_->state, message, steady_clock::now());
        probe = make_relayed_probe(impl_->state, message, steady_clock::now());
    }
    if (probe.address.empty())
    {
        return make_error(error_kind::not_found,
                          fmt::format("member '{}' is not known here; ask "
                                      "another host",
                                      message.target));
    }
    const absl::StatusOr<ping_message> reply = impl_->transport(
        probe.address, message_type::ping, probe.message, probe.timeout);
    if (!reply.ok())
    {
        return reply.status();
    }
    const std::lock_guard<std::mutex> lock(impl_->mutex);
    const time_point now = steady_clock::now();
    handle_probe_reply(impl_->state, probe, *reply, now);
    return answer_ping(impl_->state, sender, message, now);
}

} // namespace egretspindle
