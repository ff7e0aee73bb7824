#include "egretspindle/scheduler/target_list_replica.hpp"

#include "egretspindle/core/error.hpp"
#include "egretspindle/logging/log.hpp"

#include <algorithm>
#include <condition_variable>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>

namespace egretspindle
{

namespace
{

// Time for a read of the store, as in `pause_between_reads` of the platform.
constexpr milliseconds read_time{300};
// Part of a call's timeout that is left for the way to the source and back.
constexpr milliseconds call_margin{200};
constexpr milliseconds min_wait{50};
constexpr milliseconds min_timeout{100};
// A source is avoided for this long, so that its followers do not alternate
// while it is in trouble.
constexpr milliseconds avoidance_time{5'000};
// A copy that has not been read from the store for this long is read as a
// whole.
constexpr milliseconds max_unread_time{5'000};
// Longest wait of the store for a change. The table changes constantly; a
// longer wait would let the list look out of date when it does not.
constexpr milliseconds store_wait{200};

} // namespace

struct target_list_replica::impl
{
    impl(table_store& store, std::string table, std::int64_t own_boot,
         milliseconds between, target_list_hooks callbacks)
        : rows(store, std::move(table), store_wait), boot(own_boot),
          pause(between), hooks(std::move(callbacks))
    {
    }

    [[nodiscard]] milliseconds max_age() const
    {
        return pause + read_time;
    }

    milliseconds read_store();
    bool follow_any();
    bool follow(const std::string& source);
    [[nodiscard]] milliseconds call_timeout() const;
    void publish(const std::map<std::string, target_entry>& entries,
                 std::int64_t version, time_point read_at);
    void leave_source(const std::string& source, const std::string& reason);
    void run();

    table_replica rows;
    const std::int64_t boot;
    const milliseconds pause;
    target_list_hooks hooks;

    std::mutex mutex;
    std::condition_variable changed;
    bool is_stopping = false;
    target_journal journal;
    std::int64_t version = 0; ///< of the store that `journal` reflects
    time_point read_at;       ///< start of the read that showed it

    // Used by the thread only.
    std::string source_address; ///< followed at present; empty: none
    target_list_request next_request;
    std::map<std::string, time_point> avoided_until; ///< by source
    time_point store_read_at;
    std::thread thread;
};

// Makes a list available to `answer` and `on_change`.
void target_list_replica::impl::publish(
    const std::map<std::string, target_entry>& entries,
    std::int64_t store_version, time_point begun_at)
{
    bool is_changed = false;
    {
        const std::lock_guard<std::mutex> lock(mutex);
        is_changed = update_list(journal, entries);
        version = store_version;
        read_at = begun_at;
        changed.notify_all();
    }
    if (is_changed)
    {
        // Only this thread changes the entries.
        hooks.on_change(journal.entries);
    }
}

// Reads the store once. Returns the pause until the next read.
milliseconds target_list_replica::impl::read_store()
{
    const time_point begun_at = steady_clock::now();
    if (begun_at - store_read_at > max_unread_time)
    {
        rows.restart();
    }
    if (rows.read())
    {
        store_read_at = begun_at;
        publish(hooks.decode(rows.rows()), rows.version(), begun_at);
    }
    return rows.pause_after_read(pause);
}

void target_list_replica::impl::leave_source(const std::string& source,
                                             const std::string& reason)
{
    const time_point now = steady_clock::now();
    log_info("source of the list of targets is avoided",
             {{"source", source},
              {"version", version},
              {"age_ms", elapsed_ms(read_at, now)},
              {"reason", reason}});
    source_address.clear();
    avoided_until[source] = now + avoidance_time;
}

// Returns the timeout of the next call to the source: until the list would be
// out of date without an answer.
milliseconds target_list_replica::impl::call_timeout() const
{
    if (next_request.revision == 0)
    {
        return pause;
    }
    const auto left = std::chrono::duration_cast<milliseconds>(
        read_at + max_age() - steady_clock::now());
    return std::max(min_timeout, left);
}

// Asks the source for changes. Returns false if it has to be avoided.
bool target_list_replica::impl::follow(const std::string& source)
{
    if (source != source_address)
    {
        source_address = source;
        next_request = {};
        next_request.min_version = version;
    }
    const milliseconds timeout = call_timeout();
    next_request.wait_ms = std::max(min_wait, timeout - call_margin).count();
    const time_point sent_at = steady_clock::now();
    const absl::StatusOr<target_list_reply> reply =
        hooks.call(source, next_request, timeout);
    if (!reply.ok())
    {
        leave_source(source, std::string(reply.status().message()));
        return false;
    }
    if (!reply->is_current || reply->age_ms > max_age().count() ||
        reply->version < version)
    {
        leave_source(source, "the list of the source is out of date");
        return false;
    }
    // The list is at least as new as this. The time of the reply is not known,
    // only that it is not before that of the request.
    const bool is_newer = reply->version > version;
    const time_point begun_at =
        is_newer ? std::max(read_at, sent_at - milliseconds(reply->age_ms))
                 : read_at;
    const target_delta& changes = reply->changes;
    if (changes.is_whole || !changes.entries.empty() ||
        !changes.removed.empty())
    {
        std::map<std::string, target_entry> entries = journal.entries;
        apply_delta(entries, changes);
        publish(entries, reply->version, begun_at);
    }
    else
    {
        const std::lock_guard<std::mutex> lock(mutex);
        version = reply->version;
        read_at = begun_at;
        changed.notify_all();
    }
    next_request.boot = reply->boot;
    next_request.revision = changes.revision;
    next_request.known_version = reply->version;
    next_request.min_version = 0;
    return true;
}

// Follows the first source that is not avoided. Returns false if there is none.
bool target_list_replica::impl::follow_any()
{
    for (const std::string& source : hooks.sources())
    {
        const auto avoided = avoided_until.find(source);
        if (avoided != avoided_until.end() &&
            steady_clock::now() < avoided->second)
        {
            continue;
        }
        if (follow(source))
        {
            return true;
        }
    }
    source_address.clear();
    return false;
}

void target_list_replica::impl::run()
{
    for (;;)
    {
        const milliseconds wait = follow_any() ? milliseconds(0) : read_store();
        std::unique_lock<std::mutex> lock(mutex);
        if (is_stopping ||
            changed.wait_for(lock, wait, [this] { return is_stopping; }))
        {
            return;
        }
    }
}

target_list_replica::target_list_replica(table_store& store, std::string table,
                                         std::int64_t boot, milliseconds pause,
                                         target_list_hooks hooks)
    : impl_(std::make_unique<impl>(store, std::move(table), boot, pause,
                                   std::move(hooks)))
{
}

target_list_replica::~target_list_replica()
{
    stop();
}

void target_list_replica::start()
{
    impl_->thread = std::thread([this] { impl_->run(); });
}

void target_list_replica::stop()
{
    {
        const std::lock_guard<std::mutex> lock(impl_->mutex);
        impl_->is_stopping = true;
        impl_->changed.notify_all();
    }
    if (impl_->thread.joinable())
    {
        impl_->thread.join();
    }
}

target_list_reply
target_list_replica::answer(const target_list_request& request)
{
    std::unique_lock<std::mutex> lock(impl_->mutex);
    const bool is_known_boot = request.boot == impl_->boot;
    const auto is_current = [&]
    {
        return impl_->journal.revision > 0 &&
               steady_clock::now() - impl_->read_at <= impl_->max_age();
    };
    const auto is_decided = [&]
    {
        const bool is_newer = !is_known_boot || request.revision == 0 ||
                              impl_->version > request.known_version;
        return impl_->is_stopping || !is_current() ||
               (is_newer && impl_->version >= request.min_version);
    };
    // The list may become out of date without a notification.
    const time_point deadline =
        steady_clock::now() + milliseconds(request.wait_ms);
    while (!is_decided() && steady_clock::now() < deadline)
    {
        impl_->changed.wait_until(
            lock, std::min(deadline, impl_->read_at + impl_->max_age() +
                                         milliseconds(1)));
    }
    target_list_reply reply;
    reply.boot = impl_->boot;
    reply.version = impl_->version;
    reply.is_current = !impl_->is_stopping && is_current() &&
                       impl_->version >= request.min_version;
    if (reply.is_current)
    {
        reply.age_ms = elapsed_ms(impl_->read_at, steady_clock::now());
        reply.changes =
            changes_since(impl_->journal, is_known_boot ? request.revision : 0);
    }
    return reply;
}

} // namespace egretspindle
