#include "support/test_request.hpp"

#include <fmt/format.h>

namespace egretspindle::test
{

namespace
{

test_request request_of(std::string id, int work_ms, bool is_idempotent)
{
    test_request request;
    request.id = std::move(id);
    request.idempotent = is_idempotent;
    request.expected_ms = work_ms;
    request.body =
        fmt::format(R"({{"work_ms":{},"answer_bytes":40}})", work_ms);
    return request;
}

} // namespace

test_request urgent_request(std::string id, int work_ms, bool is_idempotent)
{
    return request_of(std::move(id), work_ms, is_idempotent);
}

test_request batch_request(std::string id, int work_ms, bool is_idempotent)
{
    test_request request = request_of(std::move(id), work_ms, is_idempotent);
    request.team = "archive";
    request.kind = "conversion";
    request.urgency = "batch";
    request.deadline_ms = 0;
    request.wait_ms = 0;
    return request;
}

std::string key_of(const test_request& request)
{
    return request.team + "/" + request.id;
}

} // namespace egretspindle::test
