#include "egretspindle/core/error.hpp"
#include "egretspindle/net/http_server.hpp"

#include "http_store.hpp"
#include "http_target.hpp"
#include "support/free_port.hpp"

#include <catch2/catch.hpp>

#include <mutex>
#include <string>

using namespace egretspindle;

namespace
{

/// Server that answers every request with the same body and stores the last
/// request body.
class fixed_response_server
{
public:
    explicit fixed_response_server(std::string body)
        : port_(test::free_port()), body_(std::move(body)),
          server_({},
                  [this](const http_request& request)
                  {
                      const std::lock_guard<std::mutex> lock(mutex_);
                      received_ = request.body;
                      http_response response;
                      response.status = 200;
                      response.content_type = "application/json";
                      response.body = body_;
                      return response;
                  })
    {
        REQUIRE(server_.start("127.0.0.1", port_).ok());
    }

    [[nodiscard]] endpoint address() const
    {
        return {"127.0.0.1", port_};
    }

    [[nodiscard]] std::string received()
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        return received_;
    }

private:
    unsigned short port_;
    std::string body_;
    std::mutex mutex_;
    std::string received_;
    http_server server_;
};

absl::StatusOr<poll_answer> answer_to_poll(const std::string& body)
{
    const fixed_response_server server(body);
    platform::http_target targets;
    target_entry target;
    target.id = "t-1";
    target.address = "127.0.0.1:" + std::to_string(server.address().port);
    return targets.poll(target, {}, std::chrono::seconds(2));
}

} // namespace

// Guards against columns that are decoded in the wrong order or as the wrong
// type.
TEST_CASE("the lists in a poll response are decoded", "[platform]")
{
    const absl::StatusOr<poll_answer> answer = answer_to_poll(
        R"({"clockMs":17,"born":1764826571123,"new":{"a":[1]},)"
        R"("running":[["a/0",3,"cp-\u00e9",50,812],["b",4]],)"
        R"("finished":[[9,"c",2,"done",null],["10","d",1,"lost",7]]})");
    INFO(answer.status());
    REQUIRE(answer.ok());
    CHECK(answer->verdict == order_verdict::taken);
    CHECK(answer->clock_ms == 17);
    CHECK(answer->started_ms == 1764826571123);
    REQUIRE(answer->runs.size() == 2);
    CHECK(answer->runs[0].task == "a/0");
    CHECK(answer->runs[0].run == 3);
    CHECK(answer->runs[0].checkpoint == "cp-\xC3\xA9");
    CHECK(answer->runs[0].percent == 50);
    CHECK(answer->runs[0].load == 812);
    CHECK(answer->runs[1].task == "b");
    CHECK(answer->runs[1].run == 4);
    CHECK(answer->runs[1].checkpoint.empty());
    REQUIRE(answer->ends.size() == 2);
    CHECK(answer->ends[0].number == 9);
    CHECK(answer->ends[0].task == "c");
    CHECK(answer->ends[0].run == 2);
    CHECK(answer->ends[0].how == "done");
    CHECK(answer->ends[0].checkpoint.empty());
    CHECK(answer->ends[1].number == 10);
    CHECK(answer->ends[1].checkpoint == "7");
}

// Guards against taking a list of ends that is cut off for a whole one.
TEST_CASE("a full list of ends in a poll response may be cut off", "[platform]")
{
    const auto list_ends = [](int count)
    {
        std::string body = R"({"finished":[)";
        for (int n = 1; n <= count; ++n)
        {
            body += (n == 1 ? "" : ",") + std::string("[") + std::to_string(n) +
                    R"(,"a",1,"done",""])";
        }
        return answer_to_poll(body + "]}");
    };
    const absl::StatusOr<poll_answer> whole = list_ends(499);
    REQUIRE(whole.ok());
    CHECK(whole->ends.size() == 499);
    CHECK(has_all_ends(*whole));
    const absl::StatusOr<poll_answer> full = list_ends(500);
    REQUIRE(full.ok());
    CHECK_FALSE(has_all_ends(*full));
}

// Guards against decoding a malformed list as an empty one.
TEST_CASE("a malformed list in a poll response is an error", "[platform]")
{
    for (const char* body :
         {"", "{", R"({"running":[["a",1.5]]})", R"({"running":[["a","x"]]})",
          R"({"finished":[[true,"a",1,"done",""]]})", R"({"born":"x"})",
          R"({"running":["a"]})"})
    {
        CAPTURE(body);
        CHECK_FALSE(answer_to_poll(body).ok());
    }
    const absl::StatusOr<poll_answer> empty = answer_to_poll("{}");
    REQUIRE(empty.ok());
    CHECK(empty->runs.empty());
    CHECK(empty->ends.empty());
}

// Guards against values that change when they are encoded as base64.
TEST_CASE("store rows are encoded and decoded", "[platform]")
{
    fixed_response_server server(
        R"({"rows":[{"table":"t","part":"p","key":"k","value":"eyJhIjoxfQ==",)"
        R"("rowVersion":5},{"key":"bad","value":"?","rowVersion":6},)"
        R"({"key":"gone","deleted":true}],"hasMore":true,"rowVersion":7})");
    platform::http_store store(server.address());
    const absl::StatusOr<table_page> page =
        store.read({}, std::chrono::seconds(2));
    INFO(page.status());
    REQUIRE(page.ok());
    CHECK(page->has_more);
    CHECK(page->version == 7);
    REQUIRE(page->rows.size() == 3);
    CHECK(page->rows[0].table == "t");
    CHECK(page->rows[0].part == "p");
    CHECK(page->rows[0].key == "k");
    CHECK(page->rows[0].value == R"({"a":1})");
    CHECK(page->rows[0].version == 5);
    CHECK(page->rows[1].key == "bad");
    CHECK(page->rows[1].value.empty());
    CHECK(page->rows[2].is_deleted);
    row_transaction transaction;
    transaction.conditions.push_back({"t", "p", "k", 5});
    transaction.writes.push_back({"t", "p", "k", R"({"a":1})", 0, false});
    transaction.removals.push_back({"t", "p", "old", 0});
    REQUIRE(store.commit(transaction, std::chrono::seconds(2)).ok());
    CHECK(server.received() ==
          R"({"precondition":[{"table":"t","part":"p","key":"k",)"
          R"("rowVersion":5}],"writes":[{"table":"t","part":"p","key":"k",)"
          R"("value":"eyJhIjoxfQ=="}],)"
          R"("remove":[{"table":"t","part":"p","key":"old"}]})");
}
