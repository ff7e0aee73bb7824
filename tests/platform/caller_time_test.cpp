#include "egretspindle/scheduler/job_scheduler.hpp"
#include "egretspindle/scheduler/shard.hpp"

#include "caller_interface.hpp"
#include "http_target.hpp"
#include "scheduler/fake_store.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <mutex>
#include <string>
#include <thread>

using namespace egretspindle;
using namespace egretspindle::platform;

namespace
{

const std::string job_id = "0123456789abcdef";

/// `fake_store` that takes a given time to read the row of the job. Other reads
/// are answered at once. Thread-safe.
class slow_lookup_store final : public table_store
{
public:
    fake_store rows;

    /// Sets the time that later reads of the job take.
    void set_read_time(milliseconds time)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        read_time_ = time;
        longest_wait_ = {};
    }

    /// Returns until when the reads of the job since `set_read_time` were
    /// allowed to take; time_point{}: there was none.
    time_point longest_wait() const
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        return longest_wait_;
    }

    absl::StatusOr<transaction_result>
    commit(const row_transaction& transaction, milliseconds timeout) override
    {
        return rows.commit(transaction, timeout);
    }

    absl::StatusOr<table_page> read(const row_range& range,
                                    milliseconds timeout) override
    {
        const milliseconds time =
            range.table == jobs_table && range.from == job_id
                ? begin_slow_read(timeout)
                : milliseconds(0);
        if (time.count() > 0)
        {
            std::this_thread::sleep_for(std::min(time, timeout));
            if (time > timeout)
            {
                return make_error(error_kind::deadline_exceeded, "no answer");
            }
        }
        return rows.read(range, timeout);
    }

    absl::StatusOr<table_page> watch(std::string_view table, std::int64_t after,
                                     milliseconds wait) override
    {
        return rows.watch(table, after, wait);
    }

private:
    // Returns the time that a read of the job takes, and notes its timeout.
    milliseconds begin_slow_read(milliseconds timeout)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        longest_wait_ = std::max(longest_wait_, steady_clock::now() + timeout);
        return read_time_;
    }

    mutable std::mutex mutex_;
    time_point longest_wait_;
    milliseconds read_time_{0};
};

/// Single host of a cluster, which owns all shards.
struct lookup_fixture
{
    slow_lookup_store store;
    http_target targets;
    job_scheduler scheduler;
    fleet_config config;

    lookup_fixture() : scheduler(store, targets, options())
    {
        config.version = 1;
        queue_config queue;
        queue.name = "queue";
        queue.service = "svc";
        queue.host = "caller";
        queue.path_prefix = "/p/";
        config.queues = {queue};
        scheduler.set_config(config);
        scheduler.set_targets({});
        REQUIRE(scheduler.start().ok());
        // Only the owner of a shard answers that a job to cancel is absent.
        const time_point until = steady_clock::now() + milliseconds(20'000);
        int status = 0;
        while (status != 410 && steady_clock::now() < until)
        {
            std::this_thread::sleep_for(milliseconds(50));
            status = call("DELETE", milliseconds(20'000)).status;
        }
        REQUIRE(status == 410);
    }

    ~lookup_fixture()
    {
        scheduler.stop();
    }

    lookup_fixture(const lookup_fixture&) = delete;
    lookup_fixture& operator=(const lookup_fixture&) = delete;

    static scheduler_options options()
    {
        scheduler_options result;
        result.host = "h1";
        result.data_center = "dc";
        result.peer_address = "127.0.0.1";
        result.peer_port = 0; // chosen by the kernel; there is no other host
        return result;
    }

    /// Calls the host for the job as a caller who waits for this time.
    http_response call(const std::string& method, milliseconds wait)
    {
        http_request request;
        request.method = method;
        request.path = "/p/" + job_id;
        request.headers["host"] = "caller";
        request.headers["egretspindle-deadline-ms"] =
            std::to_string(wait.count());
        return handle_caller_request(request, config, scheduler,
                                     milliseconds(60'000));
    }
};

} // namespace

// Guards against a reply that comes when its caller no longer waits, which
// counts as a call without a reply. The owner of a shard read the store for
// 0.7 s whatever was left. The test compares the limits of the reads and not
// the time of the reply, which depends on the load of the machine.
TEST_CASE("the owner of a job reads the store no longer than its caller waits",
          "[platform]")
{
    lookup_fixture fixture;
    const milliseconds wait(400);
    for (const char* method : {"GET", "DELETE"})
    {
        CAPTURE(method);
        fixture.store.set_read_time(milliseconds(5'000));
        const time_point begun_at = steady_clock::now();
        CHECK(fixture.call(method, wait).status == 504);
        const time_point read_until = fixture.store.longest_wait();
        REQUIRE(read_until > begun_at);
        CHECK(elapsed_ms(begun_at, read_until) <= wait.count());
    }
}

// Guards against giving up a read of the store that would be answered in the
// time of the caller. The owner needs no time for a second attempt elsewhere.
TEST_CASE("the owner of a job reads the store for as long as its caller waits",
          "[platform]")
{
    lookup_fixture fixture;
    fixture.store.set_read_time(milliseconds(600));
    for (const char* method : {"GET", "DELETE"})
    {
        CAPTURE(method);
        CHECK(fixture.call(method, milliseconds(1'150)).status == 410);
    }
}
