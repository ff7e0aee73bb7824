#include "egretspindle/scheduler/cluster_agent.hpp"

#include "egretspindle/cluster/store_contact.hpp"
#include "egretspindle/codec/json.hpp"
#include "egretspindle/core/error.hpp"
#include "egretspindle/logging/log.hpp"
#include "egretspindle/scheduler/cluster_rows.hpp"
#include "egretspindle/scheduler/heartbeat.hpp"
#include "egretspindle/scheduler/shard.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <condition_variable>
#include <iterator>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <thread>
#include <utility>

namespace egretspindle
{

namespace
{

// Key of the row of the shared secret.
constexpr std::string_view key_name = "key";
// From the start of a round of reads and claims to the start of the next one.
constexpr milliseconds period{1'000};
constexpr milliseconds read_timeout{800};
// After a failed attempt to read or create the shared secret.
constexpr milliseconds key_retry{200};
// A host that has not read the store for this long is not ready for callers.
constexpr milliseconds readiness_timeout{3'000};

bool starts_with(std::string_view text, std::string_view prefix)
{
    return text.substr(0, prefix.size()) == prefix;
}

table_row make_row(std::string key, std::string value)
{
    table_row row;
    row.table = std::string(cluster_table);
    row.key = std::move(key);
    row.value = std::move(value);
    return row;
}

// Returns 256 random bits in hexadecimal digits.
std::string random_key()
{
    std::random_device device;
    std::string text;
    for (int n = 0; n < 8; ++n)
    {
        text += fmt::format("{:08x}", device());
    }
    return text;
}

/// Release of a rack as last read.
struct known_release
{
    release_row row;
    time_point read_at; ///< when a read first showed this version
    bool is_applied = false;
};

} // namespace

struct cluster_agent::impl
{
    impl(table_store& rows, host_row row, cluster_hooks callbacks,
         const liveness_limits& bounds, bool spans_parts)
        : store(rows), self(std::move(row)),
          heartbeats(rows, heartbeat_part(self.name, spans_parts), self,
                     bounds.stall_timeout),
          hooks(std::move(callbacks)), limits(bounds),
          may_span_parts(spans_parts)
    {
    }

    void run();
    bool read();
    bool update_by_changes();
    bool update_by_whole_table();
    void apply(cluster_rows rows);
    void register_host();
    [[nodiscard]] bool is_announced() const;
    [[nodiscard]] absl::StatusOr<cluster_rows> read_whole_table() const;
    [[nodiscard]] absl::StatusOr<cluster_rows> read_changes() const;
    void list_resources();
    former_ownership add_claim(const std::string& name, time_point now,
                               std::set<std::string>& stopped_hosts,
                               row_transaction& transaction);
    void claim();
    void announce(const clock_reading& confirmed_at);
    void update_releases(const cluster_rows& rows);
    std::vector<rack_handover>
    take_releases(const std::set<std::string>& new_racks);
    void verify(const clock_reading& read_at);
    resource& find_resource(const std::string& name);
    [[nodiscard]] bool is_owned(const resource& item) const;
    [[nodiscard]] former_owner former_owner_of(const resource& item) const;
    [[nodiscard]] former_ownership former_ownership_of(const resource& item,
                                                       time_point now) const;
    [[nodiscard]] clock_reading
    limit_by_heartbeat(const clock_reading& reading) const;

    table_store& store;
    const host_row self; ///< initial heartbeat row
    heartbeat heartbeats;
    cluster_hooks hooks;
    liveness_limits limits;
    /// The store has transactions over several parts. Then there are rows of
    /// `rack_fences_table`, and heartbeats have parts of their own.
    const bool may_span_parts;
    mutable std::mutex mutex;
    std::condition_variable wake;
    bool is_stopping = false;
    bool is_refresh_requested = false;
    bool is_leaving = false;
    cluster_view view;
    std::int64_t read_version = 0; ///< of the store, by the last read
    contact_reports contacts;
    /// First read after this host was without the store; see
    /// `contact_timeout`.
    time_point contact_since;
    /// Tokens of the owned resources that `hooks.taken` was called for.
    std::map<std::string, std::int64_t> announced;
    std::size_t losing = 0; ///< lost resources whose hook has not returned
    std::map<std::string, known_release> releases; ///< by rack
    // The next six are used by the thread of `run` only.
    bool is_registered = false; ///< the store has confirmed a registration
    bool registered_as_leaving = false; ///< by that registration
    bool has_lost_changes = false;  ///< none were read since the last `apply`
    bool has_read_whole = false;    ///< the next read may ask for changes only
    std::int64_t table_version = 0; ///< from which changes are read next
    time_point whole_read_at;       ///< start of the latest attempt
    std::map<std::string, std::string> racks; ///< data centre by name
    /// By resource, at the latest attempt of this host to claim it.
    std::map<std::string, former_ownership> former_owners;
    /// Tokens by resource, for resources to claim again; see
    /// `report_newer_token`.
    std::map<std::string, std::int64_t> unconfirmed_tokens;
    std::thread thread;
};

bool cluster_agent::impl::is_owned(const resource& item) const
{
    return owns(item, self.name, self.boot);
}

former_owner cluster_agent::impl::former_owner_of(const resource& item) const
{
    if (item.version == 0)
    {
        return former_owner::none;
    }
    if (item.owner.host == self.name)
    {
        return item.owner.boot == self.boot ? former_owner::none
                                            : former_owner::restart;
    }
    return former_owner::other;
}

// The last heartbeat counts only for a host that is not live: the claim depends
// on the row that has it, and that of a live host changes every second. Without
// a heartbeat nothing is known: a registration may be written late, over that
// of a later process.
former_ownership cluster_agent::impl::former_ownership_of(const resource& item,
                                                          time_point now) const
{
    former_ownership former;
    former.kind = former_owner_of(item);
    former.token = item.version;
    const auto host = view.hosts.find(item.owner.host);
    if (former.kind != former_owner::other || host == view.hosts.end() ||
        host->second.version == 0)
    {
        return former;
    }
    if (host->second.row.boot != item.owner.boot)
    {
        former.ended_at = host->second.boot_seen_at;
    }
    else if (!is_live(view, item.owner.host, limits, now))
    {
        // Until its claim, the owner before it granted leases.
        // So did this owner while this host reported an outage of the store.
        former.last_heartbeat = std::max(
            {host->second.changed_at, item.owned_since, contact_since});
    }
    return former;
}

// Limits the right to grant leases to a time after the last confirmed
// heartbeat, which later owners rely on.
clock_reading
cluster_agent::impl::limit_by_heartbeat(const clock_reading& reading) const
{
    return {reading.steady, std::min(reading.boot, heartbeats.confirmed_at())};
}

// Returns a resource of the view, which is added if it is missing. The data
// centre of a rack that has no targets is "-", so that it counts as a rack.
resource& cluster_agent::impl::find_resource(const std::string& name)
{
    resource& item = view.resources[name];
    item.name = name;
    if (starts_with(name, rack_prefix))
    {
        const auto it = racks.find(name.substr(rack_prefix.size()));
        item.data_center = it == racks.end() ? "-" : it->second;
    }
    return item;
}

absl::StatusOr<cluster_rows> cluster_agent::impl::read_whole_table() const
{
    std::vector<table_row> rows;
    std::optional<std::int64_t> version;
    row_range range;
    range.table = std::string(cluster_table);
    for (;;)
    {
        absl::StatusOr<table_page> page = store.read(range, read_timeout);
        if (!page.ok())
        {
            return page.status();
        }
        // Rows of the first pages may change while later pages are read.
        version = version.value_or(page->version);
        const bool is_last = !page->has_more || page->rows.empty();
        range.from = is_last ? "" : page->rows.back().key + '\0';
        std::move(page->rows.begin(), page->rows.end(),
                  std::back_inserter(rows));
        if (is_last)
        {
            return decode_cluster_rows(rows, true, *version);
        }
    }
}

// Fails with `not_found` if the whole table has to be read.
absl::StatusOr<cluster_rows> cluster_agent::impl::read_changes() const
{
    const absl::StatusOr<table_page> page =
        store.watch(cluster_table, table_version, milliseconds(0));
    if (!page.ok())
    {
        return page.status();
    }
    if (page->has_more || page->version < table_version)
    {
        return make_error(error_kind::not_found,
                          "the changes are incomplete; the whole table has to "
                          "be read");
    }
    return decode_cluster_rows(page->rows, false, page->version);
}

// Updates the view by the changes since the last read, and by the whole table
// when that is due. Returns whether the store answered.
bool cluster_agent::impl::read()
{
    const time_point begun = steady_clock::now();
    const bool has_changes = has_read_whole && update_by_changes();
    if (has_read_whole && begun - whole_read_at < limits.whole_read_interval)
    {
        return has_changes;
    }
    // Set even if the read fails: a store that is too slow for the whole table
    // may still answer with changes.
    whole_read_at = begun;
    return update_by_whole_table() || has_changes;
}

bool cluster_agent::impl::update_by_changes()
{
    const absl::StatusOr<cluster_rows> rows = read_changes();
    if (rows.ok())
    {
        table_version = rows->version;
        apply(*rows);
    }
    else if (kind_of(rows.status()) == error_kind::not_found)
    {
        has_read_whole = false;
        has_lost_changes = true;
    }
    return rows.ok();
}

bool cluster_agent::impl::update_by_whole_table()
{
    const absl::StatusOr<cluster_rows> rows = read_whole_table();
    if (rows.ok())
    {
        // Otherwise the changes go on where their last read ended: heartbeats
        // are read as changes only.
        table_version = has_read_whole ? table_version : rows->version;
        has_read_whole = true;
        apply(*rows);
    }
    return rows.ok();
}

// Applies the rows of a read to the view.
void cluster_agent::impl::apply(cluster_rows rows)
{
    // A read of the empty part does not contain the heartbeat of this host.
    if (const std::optional<known_host> own = heartbeats.confirmed_row())
    {
        known_host& row = rows.hosts[self.name];
        row = own->version > row.version ? *own : row;
    }
    const std::lock_guard<std::mutex> lock(mutex);
    const time_point now = steady_clock::now();
    if (now - view.last_read >= contact_timeout)
    {
        contact_since = now;
    }
    if (std::exchange(has_lost_changes, false))
    {
        // The heartbeats among the lost changes do not count as missed.
        view.last_read = {};
    }
    apply_rows(view, rows, limits, now);
    read_version = std::max(read_version, rows.version);
    update_releases(rows);
    list_resources();
    if (is_leaving && !is_announced())
    {
        // The store may carry out an earlier heartbeat, whose answer was lost,
        // after the one that says that this host leaves.
        heartbeats.leave();
    }
}

// Writes the registration of this host at its start and when it leaves, if its
// heartbeats are in another part. Without it, hosts that start do not know who
// owns what this host claims.
void cluster_agent::impl::register_host()
{
    host_row host = self;
    {
        const std::lock_guard<std::mutex> lock(mutex);
        host.is_leaving = is_leaving;
    }
    const bool is_current =
        is_registered && registered_as_leaving == host.is_leaving;
    if (!may_span_parts || is_current)
    {
        return;
    }
    row_transaction transaction;
    transaction.kind = transaction_kind::registration;
    transaction.writes.push_back(
        make_row(std::string(registration_prefix) + self.name, to_json(host)));
    const absl::StatusOr<transaction_result> result =
        store.commit(transaction, transaction_timeout);
    if (!result.ok())
    {
        log_warning("registration failed",
                    {{"error", std::string(result.status().message())}});
        return;
    }
    is_registered = true;
    registered_as_leaving = host.is_leaving;
}

// Returns whether the last read showed this host as leaving. Needs the lock.
bool cluster_agent::impl::is_announced() const
{
    const auto it = view.hosts.find(self.name);
    return it != view.hosts.end() && it->second.row.boot == self.boot &&
           it->second.row.is_leaving;
}

// Adds the resources that have no row yet, and sets the data centres of all.
void cluster_agent::impl::list_resources()
{
    for (int n = 0; n < shard_count; ++n)
    {
        find_resource(std::string(shard_prefix) + shard_name(n));
    }
    for (const auto& [rack, data_center] : racks)
    {
        find_resource(std::string(rack_prefix) + rack);
    }
    for (const auto& [name, item] : view.resources)
    {
        find_resource(name);
    }
}

// Adds the claim of a resource to a transaction. Returns what is known of its
// former owner.
//
// \param stopped_hosts  hosts whose last heartbeat is a condition already
former_ownership
cluster_agent::impl::add_claim(const std::string& name, time_point now,
                               std::set<std::string>& stopped_hosts,
                               row_transaction& transaction)
{
    const resource_owner owner{self.name, self.boot};
    const resource& item = find_resource(name);
    transaction.conditions.push_back(
        {std::string(cluster_table), "", name, item.version});
    transaction.writes.push_back(make_row(name, to_json(owner)));
    if (starts_with(name, rack_prefix))
    {
        // Fails if the former owner has added a target since the read.
        const std::string rack = name.substr(rack_prefix.size());
        transaction.conditions.push_back({std::string(cluster_table), "",
                                          std::string(roster_prefix) + rack,
                                          view.rosters[rack].version});
        if (may_span_parts)
        {
            table_row fence = make_row(std::string(rack_fence_key), {});
            fence.table = std::string(rack_fences_table);
            fence.part = rack;
            fence.value = transaction.writes.back().value;
            transaction.writes.push_back(std::move(fence));
            transaction.spans_parts = true;
        }
    }
    const former_ownership former = former_ownership_of(item, now);
    if (former.last_heartbeat && stopped_hosts.insert(item.owner.host).second)
    {
        transaction.conditions.push_back(
            {std::string(cluster_table),
             heartbeat_part(item.owner.host, may_span_parts),
             std::string(host_prefix) + item.owner.host,
             view.hosts.at(item.owner.host).version});
        transaction.spans_parts = may_span_parts;
    }
    if (former.kind == former_owner::other &&
        is_live(view, item.owner.host, limits, now))
    {
        view.last_rebalance = now;
    }
    return former;
}

// Claims the resources that `decide_claims` returns and those to be confirmed
// with a new token, in one transaction.
void cluster_agent::impl::claim()
{
    row_transaction transaction;
    transaction.kind = transaction_kind::claim;
    std::vector<std::string> names;
    std::vector<former_ownership> former;
    std::set<std::string> stopped_hosts; // whose heartbeats are conditions
    std::map<std::string, std::int64_t> confirming; // token by resource
    {
        const std::lock_guard<std::mutex> lock(mutex);
        if (is_leaving || (may_span_parts && !is_registered))
        {
            return;
        }
        const time_point now = steady_clock::now();
        names = decide_claims(view, self.name, self.boot, limits, now);
        for (const auto& [name, token] : unconfirmed_tokens)
        {
            const resource& item = find_resource(name);
            if (is_owned(item) && item.version == token &&
                std::find(names.begin(), names.end(), name) == names.end())
            {
                names.insert(names.begin(), name);
            }
        }
        confirming.swap(unconfirmed_tokens);
        // Claims that do not fit into one transaction follow the next read. A
        // claim of a rack has up to three conditions and two writes.
        constexpr std::size_t entries_per_claim = 5;
        constexpr std::size_t max_claims =
            max_transaction_entries / entries_per_claim;
        names.resize(std::min(names.size(), max_claims));
        for (const std::string& name : names)
        {
            former.push_back(add_claim(name, now, stopped_hosts, transaction));
        }
    }
    if (names.empty())
    {
        return;
    }
    const absl::StatusOr<transaction_result> result =
        store.commit(transaction, transaction_timeout);
    const std::lock_guard<std::mutex> lock(mutex);
    const bool is_committed = result.ok() && result->is_committed;
    log_info("claims", {{"count", names.size()},
                        {"first", names.front()},
                        {"committed", is_committed}});
    for (std::size_t n = 0; n < names.size(); ++n)
    {
        former_owners[names[n]] = former[n];
        if (is_committed)
        {
            resource& item = find_resource(names[n]);
            item.owner = {self.name, self.boot};
            item.version = result->version;
            item.owned_since = steady_clock::now();
        }
    }
    if (!is_committed)
    {
        // These have to be claimed again: a resource that was given up is taken
        // over again only with a new token.
        unconfirmed_tokens.insert(confirming.begin(), confirming.end());
    }
    // Starts of a shard that was taken over wait for a read after the claim.
    is_refresh_requested = true;
}

// Calls the hooks for resources that were gained or lost since the last call.
void cluster_agent::impl::announce(const clock_reading& confirmed_at)
{
    std::vector<std::tuple<std::string, std::int64_t, former_ownership>> taken;
    std::vector<std::string> lost;
    std::set<std::string> new_racks;
    std::vector<rack_handover> released;
    {
        const std::lock_guard<std::mutex> lock(mutex);
        for (const auto& [name, item] : view.resources)
        {
            const auto it = announced.find(name);
            if (is_owned(item) &&
                (it == announced.end() || it->second != item.version))
            {
                announced[name] = item.version;
                taken.emplace_back(name, item.version, former_owners[name]);
                if (starts_with(name, rack_prefix))
                {
                    new_racks.insert(name.substr(rack_prefix.size()));
                }
            }
            else if (!is_owned(item) && it != announced.end())
            {
                announced.erase(it);
                lost.push_back(name);
                ++losing;
            }
        }
        released = take_releases(new_racks);
    }
    for (const std::string& name : lost)
    {
        hooks.lost(name);
        heartbeats.report_progress();
        const std::lock_guard<std::mutex> lock(mutex);
        --losing;
    }
    for (const auto& [name, token, former] : taken)
    {
        hooks.taken(name, token, former, confirmed_at);
        heartbeats.report_progress();
    }
    for (const rack_handover& handover : released)
    {
        if (hooks.released)
        {
            hooks.released(handover);
        }
    }
}

// Keeps the releases of a read that are new. Needs the lock.
void cluster_agent::impl::update_releases(const cluster_rows& rows)
{
    for (const auto& [rack, row] : rows.releases)
    {
        known_release& known = releases[rack];
        if (row.version > known.row.version)
        {
            known = {row, steady_clock::now()};
        }
    }
}

// Returns the releases that are to be applied to racks of this host: new ones,
// and those of racks that it has just taken over. Needs the lock.
std::vector<rack_handover>
cluster_agent::impl::take_releases(const std::set<std::string>& new_racks)
{
    std::vector<rack_handover> result;
    for (auto& [rack, release] : releases)
    {
        const bool is_due = !release.is_applied || new_racks.count(rack) > 0;
        if (is_due && announced.count(std::string(rack_prefix) + rack) > 0)
        {
            release.is_applied = true;
            result.push_back(
                age_handover(release.row.handover, elapsed(release.read_at)));
        }
    }
    return result;
}

// Calls the hook `verified` for all owned resources after a read.
void cluster_agent::impl::verify(const clock_reading& read_at)
{
    std::map<std::string, std::int64_t> owned;
    {
        const std::lock_guard<std::mutex> lock(mutex);
        owned = announced;
    }
    for (const auto& [name, token] : owned)
    {
        hooks.verified(name, token, read_at);
    }
}

void cluster_agent::impl::run()
{
    // Only a host that the read shows as live may claim, so its heartbeat row
    // has to be written first.
    heartbeats.wait_for_first();
    for (;;)
    {
        const time_point begun = steady_clock::now();
        heartbeats.report_progress();
        heartbeats.set_state(hooks.pending(), hooks.unmovable
                                                  ? hooks.unmovable()
                                                  : std::vector<std::string>{});
        const clock_reading read_at = read_clocks();
        if (read())
        {
            announce(limit_by_heartbeat(read_at));
            verify(limit_by_heartbeat(read_at));
            register_host();
            const clock_reading claimed_at = read_clocks();
            claim();
            announce(limit_by_heartbeat(claimed_at));
        }
        std::unique_lock<std::mutex> lock(mutex);
        // A requested round begins early, but there are at most four a second,
        // however often they are requested.
        constexpr milliseconds shortest_period{250};
        wake.wait_until(lock, begun + shortest_period,
                        [this] { return is_stopping; });
        wake.wait_until(lock, begun + period,
                        [this] {
                            return is_stopping || is_refresh_requested ||
                                   is_leaving;
                        });
        is_refresh_requested = false;
        if (is_stopping)
        {
            return;
        }
    }
}

cluster_agent::cluster_agent(table_store& store, host_row self,
                             cluster_hooks hooks, const liveness_limits& limits,
                             bool may_span_parts)
    : impl_(std::make_unique<impl>(store, std::move(self), std::move(hooks),
                                   limits, may_span_parts))
{
}

cluster_agent::~cluster_agent()
{
    stop();
}

std::string cluster_agent::shared_key()
{
    row_range range;
    range.table = std::string(cluster_table);
    range.from = std::string(key_name);
    range.limit = 1;
    for (;;)
    {
        const absl::StatusOr<table_page> page =
            impl_->store.read(range, read_timeout);
        if (page.ok() && !page->rows.empty() &&
            page->rows.front().key == key_name)
        {
            return page->rows.front().value;
        }
        if (page.ok())
        {
            row_transaction transaction;
            transaction.conditions.push_back(
                {std::string(cluster_table), "", std::string(key_name), 0});
            transaction.writes.push_back(
                make_row(std::string(key_name), random_key()));
            const absl::StatusOr<transaction_result> result =
                impl_->store.commit(transaction, transaction_timeout);
            if (result.ok())
            {
                continue; // read the key that is stored now
            }
        }
        std::unique_lock<std::mutex> lock(impl_->mutex);
        if (impl_->wake.wait_for(lock, key_retry,
                                 [this] { return impl_->is_stopping; }))
        {
            return {};
        }
    }
}

void cluster_agent::start()
{
    impl_->heartbeats.start();
    impl_->thread = std::thread([this] { impl_->run(); });
}

void cluster_agent::stop()
{
    {
        const std::lock_guard<std::mutex> lock(impl_->mutex);
        impl_->is_stopping = true;
        impl_->wake.notify_all();
    }
    impl_->heartbeats.stop();
    if (impl_->thread.joinable())
    {
        impl_->thread.join();
    }
}

void cluster_agent::leave()
{
    impl_->heartbeats.leave();
    const std::lock_guard<std::mutex> lock(impl_->mutex);
    impl_->is_leaving = true;
    impl_->wake.notify_all();
}

stop_progress cluster_agent::progress_of_stop() const
{
    const std::lock_guard<std::mutex> lock(impl_->mutex);
    stop_progress progress;
    progress.is_announced = impl_->is_announced();
    progress.owned = impl_->announced.size() + impl_->losing;
    for (const auto& [name, item] : impl_->view.resources)
    {
        // Claimed, but not announced yet.
        const bool is_new = impl_->announced.count(name) == 0;
        progress.owned += is_new && impl_->is_owned(item) ? 1 : 0;
    }
    return progress;
}

std::vector<std::string> cluster_agent::owned_racks() const
{
    const std::lock_guard<std::mutex> lock(impl_->mutex);
    std::vector<std::string> racks;
    for (const auto& [name, token] : impl_->announced)
    {
        if (starts_with(name, rack_prefix))
        {
            racks.push_back(name.substr(rack_prefix.size()));
        }
    }
    return racks;
}

bool cluster_agent::record_releases(const std::vector<rack_handover>& releases,
                                    milliseconds timeout)
{
    const time_point end = steady_clock::now() + timeout;
    for (std::size_t begin = 0; begin < releases.size();
         begin += max_transaction_entries)
    {
        row_transaction transaction;
        transaction.kind = transaction_kind::release;
        const std::size_t count =
            std::min(max_transaction_entries, releases.size() - begin);
        for (std::size_t n = begin; n < begin + count; ++n)
        {
            transaction.writes.push_back(
                make_row(std::string(release_prefix) + releases[n].rack,
                         to_json(releases[n])));
        }
        const milliseconds left(
            std::max<std::int64_t>(1, elapsed_ms(steady_clock::now(), end)));
        const absl::StatusOr<transaction_result> result =
            impl_->store.commit(transaction, left);
        if (!result.ok() || !result->is_committed)
        {
            return false;
        }
    }
    return true;
}

void cluster_agent::refresh()
{
    const std::lock_guard<std::mutex> lock(impl_->mutex);
    impl_->is_refresh_requested = true;
    impl_->wake.notify_all();
}

std::map<std::string, std::string>
cluster_agent::roster_of(const std::string& rack) const
{
    const std::lock_guard<std::mutex> lock(impl_->mutex);
    const auto it = impl_->view.rosters.find(rack);
    return it == impl_->view.rosters.end()
               ? std::map<std::string, std::string>{}
               : it->second.targets;
}

bool cluster_agent::record_roster(
    const std::string& rack, std::int64_t token,
    const std::map<std::string, std::string>& targets)
{
    const std::string key = std::string(roster_prefix) + rack;
    row_transaction transaction;
    transaction.kind = transaction_kind::roster;
    roster_row roster;
    roster.targets = targets;
    {
        const std::lock_guard<std::mutex> lock(impl_->mutex);
        transaction.conditions.push_back({std::string(cluster_table), "", key,
                                          impl_->view.rosters[rack].version});
    }
    transaction.conditions.push_back({std::string(cluster_table), "",
                                      std::string(rack_prefix) + rack, token});
    transaction.writes.push_back(make_row(key, to_json(roster)));
    const absl::StatusOr<transaction_result> result =
        impl_->store.commit(transaction, transaction_timeout);
    if (!result.ok() || !result->is_committed)
    {
        log_info(
            "list of a rack's targets was not recorded",
            {{"rack", rack},
             {"targets", targets.size()},
             {"error", result.ok() ? std::string("the owner row or the list "
                                                 "has changed")
                                   : std::string(result.status().message())}});
        refresh();
        return false;
    }
    const std::lock_guard<std::mutex> lock(impl_->mutex);
    roster.version = result->version;
    impl_->view.rosters[rack] = std::move(roster);
    return true;
}

void cluster_agent::report_newer_token(const std::string& resource,
                                       std::int64_t token)
{
    const std::lock_guard<std::mutex> lock(impl_->mutex);
    impl_->unconfirmed_tokens[resource] = token;
    impl_->is_refresh_requested = true;
    impl_->wake.notify_all();
}

void cluster_agent::set_racks(const std::map<std::string, std::string>& racks)
{
    const std::lock_guard<std::mutex> lock(impl_->mutex);
    impl_->racks = racks;
}

std::optional<owner_location>
cluster_agent::owner_of(const std::string& resource) const
{
    const std::lock_guard<std::mutex> lock(impl_->mutex);
    const auto it = impl_->view.resources.find(resource);
    if (it == impl_->view.resources.end() || it->second.version == 0)
    {
        return std::nullopt;
    }
    const auto host = impl_->view.hosts.find(it->second.owner.host);
    if (host == impl_->view.hosts.end())
    {
        return std::nullopt;
    }
    owner_location location;
    location.host = it->second.owner.host;
    location.peer = host->second.row.peer;
    location.token = it->second.version;
    location.is_self = impl_->is_owned(it->second);
    return location;
}

bool cluster_agent::is_confirmed(const std::string& resource,
                                 std::int64_t token) const
{
    const std::lock_guard<std::mutex> lock(impl_->mutex);
    const auto it = impl_->view.resources.find(resource);
    return it != impl_->view.resources.end() && impl_->is_owned(it->second) &&
           impl_->read_version >= token;
}

std::vector<std::string> cluster_agent::peers() const
{
    std::vector<std::string> peers;
    const std::lock_guard<std::mutex> lock(impl_->mutex);
    // During an outage of the store no heartbeats are read, so that no host
    // would be live now.
    const time_point now = impl_->view.last_read;
    for (const auto& [name, host] : impl_->view.hosts)
    {
        if (name != impl_->self.name &&
            is_live(impl_->view, name, impl_->limits, now))
        {
            peers.push_back(host.row.peer);
        }
    }
    return peers;
}

std::vector<std::string> cluster_agent::list_readers() const
{
    const std::lock_guard<std::mutex> lock(impl_->mutex);
    std::vector<std::string> addresses;
    for (const std::string& name :
         choose_readers(impl_->view, impl_->self.data_center, impl_->limits,
                        impl_->view.last_read))
    {
        if (name == impl_->self.name)
        {
            return {};
        }
        addresses.push_back(impl_->view.hosts.at(name).row.peer);
    }
    return addresses;
}

std::map<std::string, std::int64_t> cluster_agent::pending_elsewhere() const
{
    std::map<std::string, std::int64_t> counts;
    const std::lock_guard<std::mutex> lock(impl_->mutex);
    const time_point now = steady_clock::now();
    std::set<std::string> shard_owners;
    for (const auto& [name, item] : impl_->view.resources)
    {
        if (starts_with(name, shard_prefix) && item.version != 0)
        {
            shard_owners.insert(item.owner.host);
        }
    }
    for (const auto& [name, host] : impl_->view.hosts)
    {
        // Jobs of a silent host still wait until its shards are taken over.
        const bool is_counted =
            name != impl_->self.name &&
            (shard_owners.count(name) > 0 ||
             is_live(impl_->view, name, impl_->limits, now));
        for (const auto& [queue, count] : host.row.pending)
        {
            counts[queue] += is_counted ? count : 0;
        }
    }
    return counts;
}

void cluster_agent::record_store_contact(const std::string& host,
                                         bool has_store_contact,
                                         milliseconds age)
{
    const std::lock_guard<std::mutex> lock(impl_->mutex);
    const boot_time_point measured_at = boot_clock::now() - age;
    contact_report& known = impl_->contacts[host];
    // A late message must not hide that the host has reached the store since.
    if (has_store_contact || measured_at >= known.measured_at)
    {
        known = {measured_at, has_store_contact};
    }
}

bool cluster_agent::is_without_store() const
{
    const std::lock_guard<std::mutex> lock(impl_->mutex);
    return steady_clock::now() - impl_->view.last_read >= contact_timeout;
}

bool cluster_agent::is_outage() const
{
    const std::lock_guard<std::mutex> lock(impl_->mutex);
    return steady_clock::now() - impl_->view.last_read >= contact_timeout &&
           is_cluster_wide_outage(impl_->view, impl_->self.name,
                                  impl_->contacts, impl_->limits,
                                  boot_clock::now());
}

bool cluster_agent::has_store_contact() const
{
    const std::lock_guard<std::mutex> lock(impl_->mutex);
    return impl_->view.last_read != time_point{} &&
           steady_clock::now() - impl_->view.last_read < readiness_timeout;
}

} // namespace egretspindle
