/// \file
/// Request of a test.

#ifndef EGRETSPINDLE_TESTS_SUPPORT_TEST_REQUEST_HPP
#define EGRETSPINDLE_TESTS_SUPPORT_TEST_REQUEST_HPP

#include "egretspindle/core/resources.hpp"

#include <cstdint>
#include <string>

namespace egretspindle::test
{

/// A request in the form of the caller interface.
struct test_request
{
    std::string id;
    std::string team = "rota";
    std::string kind = "draft";
    std::string urgency = "urgent";
    bool idempotent = true;
    resources size{1, 200, 0};
    std::int64_t expected_ms = 5;
    std::int64_t deadline_ms = 5900;
    std::string body = R"({"work_ms":5})";
    std::int64_t wait_ms = 5900;
};

/// Visits the fields of `test_request` for the codec.
template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const test_request* /*tag*/)
{
    visit("id", value.id);
    visit("team", value.team);
    visit("kind", value.kind);
    visit("urgency", value.urgency);
    visit("idempotent", value.idempotent);
    visit("size", value.size);
    visit("expected_ms", value.expected_ms);
    visit("deadline_ms", value.deadline_ms);
    visit("body", value.body);
    visit("wait_ms", value.wait_ms);
}

/// Returns an urgent request for work of this length.
[[nodiscard]] test_request urgent_request(std::string id, int work_ms = 5,
                                          bool is_idempotent = true);

/// Returns a batch request for work of this length.
[[nodiscard]] test_request batch_request(std::string id, int work_ms,
                                         bool is_idempotent = true);

/// Returns `team/id`.
[[nodiscard]] std::string key_of(const test_request& request);

} // namespace egretspindle::test

#endif
