#include "egretspindle/ownership/ownership_service.hpp"

#include "egretspindle/codec/json.hpp"
#include "egretspindle/ownership/ownership_decision.hpp"
#include "egretspindle/ownership/ownership_result.hpp"
#include "egretspindle/protocol/message_type.hpp"
#include "egretspindle/protocol/peer_client.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>

namespace egretspindle
{

namespace
{

constexpr milliseconds tick_period{100};
// Shorter than the delay of the host list.
constexpr milliseconds host_list_period{500};
// Taking over the racks of a failed host issues one write per rack at once.
constexpr int worker_count = 6;
constexpr int row_page_size = 500;
// Offers are repeated, as the preferred successor may have changed.
constexpr milliseconds offer_period{700};

} // namespace

struct ownership_service::impl
{
    impl(ownership_options initial_options, membership_service& service,
         store_client& rows, host_list_snapshot snapshot, rpc_client& peers,
         ownership_callbacks handlers)
        : members(service), store(rows), hosts(std::move(snapshot)),
          client(peers), callbacks(std::move(handlers)),
          options(std::move(initial_options)),
          state(make_ownership_state(options, service.process_incarnation(),
                                     steady_clock::now()))
    {
    }

    void run_ticks()
    {
        time_point next_list{};
        while (!is_stopped)
        {
            // `update_hosts` ignores an empty list.
            std::vector<host_entry> listed;
            if (steady_clock::now() >= next_list)
            {
                next_list = steady_clock::now() + host_list_period;
                listed = hosts();
            }
            const std::vector<member_digest> digests = members.members();
            std::vector<std::string> live =
                members.live_hosts(options.data_center);
            std::vector<ownership_action> due;
            {
                const std::lock_guard<std::mutex> lock(mutex);
                const time_point now = steady_clock::now();
                update_hosts(state, listed, now);
                update_members(state, digests, std::move(live));
                due = decide(state, now);
            }
            {
                const std::lock_guard<std::mutex> lock(queue_mutex);
                queue.insert(queue.end(), due.begin(), due.end());
                has_events = true;
            }
            queue_signal.notify_all();
            std::unique_lock<std::mutex> lock(queue_mutex);
            tick_signal.wait_for(lock, tick_period,
                                 [this] { return is_stopped || is_woken; });
            is_woken = false;
        }
    }

    void run_worker()
    {
        while (true)
        {
            ownership_action action;
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
            execute(action);
            wake();
        }
    }

    // Callbacks run on a separate thread: a slow one would delay the decisions
    // and look like a pause of this process.
    void run_notifier()
    {
        while (!is_stopped)
        {
            {
                std::unique_lock<std::mutex> lock(queue_mutex);
                queue_signal.wait(lock,
                                  [this] { return is_stopped || has_events; });
                has_events = false;
            }
            deliver_events();
        }
    }

    void execute(const ownership_action& action)
    {
        switch (action.call)
        {
        case ownership_call::read_row:
            read(action);
            break;
        case ownership_call::scan_rows:
            scan();
            break;
        case ownership_call::write_row:
            write(action);
            break;
        case ownership_call::claim_target:
            claim(action);
            break;
        case ownership_call::request_release:
            request_release(action);
            break;
        }
    }

    void read(const ownership_action& action)
    {
        const absl::StatusOr<store_row> row =
            store.read(owner_row_key(action.rack), options.store_timeout);
        const std::lock_guard<std::mutex> lock(mutex);
        on_row_read(state, action, row, steady_clock::now());
    }

    void scan()
    {
        std::vector<store_row> rows;
        absl::StatusOr<std::vector<store_row>> page;
        do
        {
            page = store.scan(owner_row_prefix(options.data_center),
                              rows.empty() ? std::string() : rows.back().key,
                              row_page_size, options.store_timeout);
            if (page.ok())
            {
                rows.insert(rows.end(), page->begin(), page->end());
            }
        } while (page.ok() && page->size() == row_page_size && !is_stopped);
        const std::lock_guard<std::mutex> lock(mutex);
        if (page.ok())
        {
            page = std::move(rows);
        }
        on_rows_scanned(state, page, steady_clock::now());
    }

    void write(const ownership_action& action)
    {
        const absl::StatusOr<commit_result> result =
            store.commit(action.transaction, options.store_timeout);
        const std::lock_guard<std::mutex> lock(mutex);
        on_row_written(state, action, result, steady_clock::now());
    }

    void claim(const ownership_action& action)
    {
        const absl::StatusOr<fencing_token> token =
            callbacks.claim_target(action.target, action.epoch);
        const std::lock_guard<std::mutex> lock(mutex);
        on_target_claimed(state, action, token, steady_clock::now());
    }

    absl::StatusOr<rack_release> send_release(const std::string& host,
                                              const rack_release& message)
    {
        return call_peer<rack_release>(client, members.address_of(host),
                                       message_type::release_rack, message,
                                       options.release_timeout);
    }

    void request_release(const ownership_action& action)
    {
        rack_release message;
        message.rack = action.rack.rack;
        message.data_center = action.rack.data_center;
        message.epoch = action.epoch;
        const absl::StatusOr<rack_release> answer =
            send_release(action.host, message);
        const std::lock_guard<std::mutex> lock(mutex);
        on_release_answered(state, action, answer, steady_clock::now());
    }

    void deliver_events()
    {
        const std::lock_guard<std::mutex> order(callback_mutex);
        while (true)
        {
            std::vector<ownership_event> events;
            {
                const std::lock_guard<std::mutex> lock(mutex);
                events.swap(state.events);
            }
            if (events.empty())
            {
                return;
            }
            for (const ownership_event& event : events)
            {
                notify(event);
            }
        }
    }

    void notify(const ownership_event& event)
    {
        const rack_id id{event.rack.data_center, event.rack.rack};
        fmt::print(stderr,
                   "event=ownership host={} rack={}/{} change={} epoch={} "
                   "term={} claims={} reason=\"{}\"\n",
                   options.name, id.data_center, id.rack,
                   to_string(event.change), event.rack.token.epoch,
                   event.rack.token.term, event.rack.claims.size(),
                   event.reason);
        switch (event.change)
        {
        case ownership_change::acquired:
            callbacks.acquired(event.rack);
            break;
        case ownership_change::updated:
            callbacks.updated(event.rack);
            break;
        case ownership_change::lost:
            callbacks.lost(id);
            break;
        }
    }

    void wake()
    {
        {
            const std::lock_guard<std::mutex> lock(queue_mutex);
            is_woken = true;
            has_events = true;
        }
        tick_signal.notify_all();
        queue_signal.notify_all();
    }

    std::vector<owned_rack> owned_racks() const
    {
        const std::lock_guard<std::mutex> lock(mutex);
        std::vector<owned_rack> racks;
        for (const auto& [id, record] : state.racks)
        {
            if (record.owned)
            {
                racks.push_back(*record.owned);
            }
        }
        return racks;
    }

    void offer_rack(const owned_rack& rack)
    {
        const rack_id id{rack.data_center, rack.rack};
        std::vector<std::string> others =
            members.live_hosts(options.data_center);
        others.erase(std::remove(others.begin(), others.end(), options.name),
                     others.end());
        const std::string successor = preferred_host(id, others);
        if (successor.empty())
        {
            drop_all_racks();
            return;
        }
        rack_release message;
        message.rack = id.rack;
        message.data_center = id.data_center;
        message.epoch = rack.token.epoch;
        message.released = true;
        (void)send_release(successor, message);
    }

    void drop_all_racks()
    {
        {
            const std::lock_guard<std::mutex> lock(mutex);
            for (auto& [id, record] : state.racks)
            {
                record.suspended.reset();
                drop_ownership(state, id, "this host is shutting down");
            }
        }
        deliver_events();
    }

    membership_service& members;
    store_client& store;
    host_list_snapshot hosts;
    rpc_client& client;
    ownership_callbacks callbacks;
    const ownership_options options;
    std::mutex callback_mutex; // keeps the callbacks in order
    mutable std::mutex mutex;
    ownership_state state;
    std::mutex queue_mutex;
    std::condition_variable queue_signal;
    std::condition_variable tick_signal;
    std::deque<ownership_action> queue;
    bool has_events = false;
    bool is_woken = false;
    std::atomic<bool> is_stopped{false};
    std::vector<std::thread> threads;
};

ownership_service::ownership_service(
    ownership_options options, membership_service& members, store_client& store,
    host_list_snapshot hosts, rpc_client& client, ownership_callbacks callbacks)
    : impl_(std::make_unique<impl>(std::move(options), members, store,
                                   std::move(hosts), client,
                                   std::move(callbacks)))
{
}

ownership_service::~ownership_service()
{
    stop();
}

void ownership_service::start()
{
    {
        const std::lock_guard<std::mutex> lock(impl_->mutex);
        impl_->state.started = steady_clock::now();
        impl_->state.last_decision = impl_->state.started;
    }
    impl_->threads.emplace_back([this] { impl_->run_ticks(); });
    impl_->threads.emplace_back([this] { impl_->run_notifier(); });
    for (int n = 0; n < worker_count; ++n)
    {
        impl_->threads.emplace_back([this] { impl_->run_worker(); });
    }
}

void ownership_service::stop()
{
    {
        const std::lock_guard<std::mutex> lock(impl_->queue_mutex);
        impl_->is_stopped = true;
    }
    impl_->queue_signal.notify_all();
    impl_->tick_signal.notify_all();
    for (std::thread& thread : impl_->threads)
    {
        thread.join();
    }
    impl_->threads.clear();
    impl_->drop_all_racks();
}

std::vector<owned_rack> ownership_service::owned() const
{
    {
        const std::lock_guard<std::mutex> lock(impl_->mutex);
        if (steady_clock::now() - impl_->state.last_decision >
            impl_->options.resume_gap)
        {
            return {};
        }
    }
    return impl_->owned_racks();
}

std::optional<rack_owner> ownership_service::owner_of(const rack_id& rack) const
{
    if (rack.data_center == impl_->options.data_center)
    {
        const std::lock_guard<std::mutex> lock(impl_->mutex);
        const std::optional<rack_owner> owner = known_owner(impl_->state, rack);
        if (owner)
        {
            return owner;
        }
    }
    const absl::StatusOr<store_row> row =
        impl_->store.read(owner_row_key(rack), impl_->options.store_timeout);
    if (!row.ok() || row->version == 0)
    {
        return std::nullopt;
    }
    const absl::StatusOr<owner_row> value = from_json<owner_row>(row->value);
    if (!value.ok())
    {
        return std::nullopt;
    }
    return rack_owner{value->host, value->epoch};
}

std::size_t ownership_service::release_all(milliseconds limit)
{
    {
        const std::lock_guard<std::mutex> lock(impl_->mutex);
        impl_->state.is_stopping = true;
    }
    const std::size_t owned_before = impl_->owned_racks().size();
    const time_point end = steady_clock::now() + limit;
    time_point next_offer = steady_clock::now();
    std::vector<owned_rack> racks = impl_->owned_racks();
    while (!racks.empty() && steady_clock::now() < end)
    {
        if (steady_clock::now() >= next_offer)
        {
            next_offer = steady_clock::now() + offer_period;
            for (const owned_rack& rack : racks)
            {
                impl_->offer_rack(rack);
            }
        }
        std::this_thread::sleep_for(tick_period / 4);
        racks = impl_->owned_racks();
    }
    const std::size_t remaining = racks.size();
    impl_->drop_all_racks();
    return owned_before - remaining;
}

absl::StatusOr<rack_release>
ownership_service::handle_release(const std::string& sender,
                                  const rack_release& message)
{
    rack_release reply;
    {
        const std::lock_guard<std::mutex> lock(impl_->mutex);
        reply = on_release_requested(impl_->state, sender, message,
                                     steady_clock::now());
    }
    impl_->wake();
    if (!message.released && reply.released)
    {
        // The reply confirms to the sender that renewals have stopped.
        impl_->deliver_events();
        reply.renewals =
            impl_->callbacks.last_renewals({message.data_center, message.rack});
    }
    return reply;
}

void ownership_service::on_stale_epoch(const rack_id& rack,
                                       std::int64_t seen_epoch)
{
    {
        const std::lock_guard<std::mutex> lock(impl_->mutex);
        on_stale_epoch_seen(impl_->state, rack, seen_epoch,
                            steady_clock::now());
    }
    impl_->wake();
}

bool ownership_service::is_store_up() const
{
    const std::lock_guard<std::mutex> lock(impl_->mutex);
    return !impl_->state.store_failing_since;
}

} // namespace egretspindle
