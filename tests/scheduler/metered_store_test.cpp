#include "egretspindle/scheduler/metered_store.hpp"

#include "fake_store.hpp"
#include "metric_value.hpp"

#include <catch2/catch.hpp>

#include <array>
#include <thread>
#include <unistd.h>

using namespace egretspindle;

namespace
{

constexpr milliseconds timeout{1'000};

table_row make_row(std::string part, std::string key)
{
    table_row row;
    row.table = "a_table";
    row.part = std::move(part);
    row.key = std::move(key);
    return row;
}

row_transaction make_write(transaction_kind kind, const std::string& part)
{
    row_transaction transaction;
    transaction.kind = kind;
    transaction.writes.push_back(make_row(part, "key"));
    return transaction;
}

double transactions(const metric_registry& registry, const std::string& kind,
                    const std::string& result)
{
    return metric_value(registry.prometheus_text(),
                        "egretspindle_store_transactions_total{kind=\"" + kind +
                            "\",result=\"" + result + "\"}");
}

// Returns the text that `action` writes to standard output, which must fit into
// the buffer of a pipe.
template <typename Action>
std::string capture_stdout(Action action)
{
    std::array<int, 2> pipe_fds{};
    REQUIRE(::pipe(pipe_fds.data()) == 0);
    const int saved = ::dup(STDOUT_FILENO);
    ::dup2(pipe_fds[1], STDOUT_FILENO);
    ::close(pipe_fds[1]);
    action();
    ::dup2(saved, STDOUT_FILENO);
    ::close(saved);
    std::string text;
    std::array<char, 4096> buf{};
    for (ssize_t n = 0; (n = ::read(pipe_fds[0], buf.data(), buf.size())) > 0;)
    {
        text.append(buf.data(), static_cast<std::size_t>(n));
    }
    ::close(pipe_fds[0]);
    return text;
}

} // namespace

// Guards against a kind that has no counter.
TEST_CASE("transactions of every kind are counted", "[metrics][store]")
{
    fake_store rows;
    metric_registry registry;
    metered_store store(rows, registry);
    for (std::size_t n = 0; n < transaction_kind_count; ++n)
    {
        REQUIRE(store
                    .commit(make_write(static_cast<transaction_kind>(n), ""),
                            timeout)
                    .ok());
    }
    CHECK(transactions(registry, "other", "committed") == 1);
    CHECK(transactions(registry, "release", "committed") == 1);
    CHECK(transactions(registry, "registration", "committed") == 1);
}

// Guards against counting a record whose condition is an owner row as a
// transaction of its shard only.
TEST_CASE("conditions count for the parts of a transaction", "[metrics][store]")
{
    row_transaction transaction;
    transaction.writes.push_back(make_row("", "a"));
    CHECK(parts_of(transaction) == transaction_parts::common);
    transaction.writes.front().part = "07";
    CHECK(parts_of(transaction) == transaction_parts::one);
    transaction.conditions.push_back({"a_table", "07", "b", 0});
    CHECK(parts_of(transaction) == transaction_parts::one);
    transaction.removals.push_back({"a_table", "08", "c", 0});
    CHECK(parts_of(transaction) == transaction_parts::several);
    transaction.conditions.push_back({"a_table", "", "d", 0});
    CHECK(parts_of(transaction) == transaction_parts::spanning);
}

// Guards against refusals and failed conditions that look like commits.
TEST_CASE("transactions are counted by kind and result", "[metrics][store]")
{
    fake_store rows;
    metric_registry registry;
    metered_store store(rows, registry);
    REQUIRE(store.commit(make_write(transaction_kind::heartbeat, ""), timeout)
                .ok());
    row_transaction claim = make_write(transaction_kind::claim, "");
    claim.conditions.push_back({"a_table", "", "key", 99});
    REQUIRE(store.commit(claim, timeout).ok());
    rows.set_fault(write_fault::overloaded);
    REQUIRE_FALSE(
        store.commit(make_write(transaction_kind::intents, ""), timeout).ok());
    rows.set_fault(write_fault::refused);
    REQUIRE_FALSE(
        store.commit(make_write(transaction_kind::records, "07"), timeout)
            .ok());
    CHECK(transactions(registry, "heartbeat", "committed") == 1);
    CHECK(transactions(registry, "claim", "conflict") == 1);
    CHECK(transactions(registry, "intents", "overloaded") == 1);
    CHECK(transactions(registry, "records", "failed") == 1);
    CHECK(transactions(registry, "records", "committed") == 0);
    const std::string text = registry.prometheus_text();
    CHECK(metric_value(text,
                       "egretspindle_store_transaction_milliseconds_count{"
                       "parts=\"common\"}") == 3);
    CHECK(metric_value(text,
                       "egretspindle_store_transaction_milliseconds_count{"
                       "parts=\"one\"}") == 1);
}

// Guards against slow transactions whose purpose and parts are unknown.
TEST_CASE("a slow transaction is logged with its kind and parts",
          "[metrics][store]")
{
    fake_store rows;
    milliseconds delay{0};
    rows.before_commit = [&delay]
    {
        std::this_thread::sleep_for(delay);
    };
    metric_registry registry;
    metered_store store(rows, registry);
    const row_transaction transaction =
        make_write(transaction_kind::fence, "07");
    const std::string text = capture_stdout(
        [&]
        {
            delay = metered_store::slow_transaction;
            CHECK(store.commit(transaction, timeout).ok());
        });
    CAPTURE(text);
    CHECK(text.find("msg=\"store transaction was slow\" kind=fence parts=one "
                    "entries=1") != std::string::npos);
    CHECK(text.find("result=committed left_out=0") != std::string::npos);
}
