#include "egretspindle/adapters/caller_request.hpp"

#include "egretspindle/codec/json.hpp"
#include "egretspindle/codec/surrogate_pairs.hpp"
#include "egretspindle/core/error.hpp"
#include "egretspindle/core/utf8.hpp"

#include "caller_fields.hpp"

#include <algorithm>
#include <array>
#include <set>
#include <string>
#include <utility>

namespace egretspindle
{

namespace
{

// Bounds far above the largest targets, to reject units mistaken for others.
constexpr double max_cpu_cores = 4096;
constexpr double max_memory_mb = 64.0 * 1024 * 1024;
constexpr double max_accelerators = 1024;
constexpr std::int64_t day_ms = 24LL * 3600 * 1000;
constexpr std::int64_t max_expected_ms = 30 * day_ms;
constexpr std::int64_t max_urgent_deadline_ms = 600'000;
constexpr std::int64_t max_batch_deadline_ms = 30 * day_ms;

constexpr std::array<const char*, 6> required_fields{
    "id", "team", "kind", "urgency", "idempotent", "size"};

/// Body of a submission as it is on the wire.
struct wire_request
{
    std::string id;
    std::string team;
    std::string kind;
    std::string urgency;
    bool idempotent = false;
    bool checkpointable = true;
    resources size;
    std::int64_t expected_ms = 0;
    std::int64_t deadline_ms = 0;
    std::int64_t wait_ms = 0;
    std::string body;
};

template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const wire_request* /*tag*/)
{
    visit("id", value.id);
    visit("team", value.team);
    visit("kind", value.kind);
    visit("urgency", value.urgency);
    visit("idempotent", value.idempotent);
    visit("checkpointable", value.checkpointable);
    visit("size", value.size);
    visit("expected_ms", value.expected_ms);
    visit("deadline_ms", value.deadline_ms);
    visit("wait_ms", value.wait_ms);
    visit("body", value.body);
}

absl::Status invalid(std::string_view message)
{
    return make_error(error_kind::invalid_argument, message);
}

bool is_json(std::string_view content_type)
{
    const std::string_view type =
        content_type.substr(0, content_type.find_first_of("; \t"));
    constexpr std::string_view expected = "application/json";
    return std::equal(
        type.begin(), type.end(), expected.begin(), expected.end(),
        [](char lhs, char rhs)
        { return (lhs >= 'A' && lhs <= 'Z' ? lhs + 32 : lhs) == rhs; });
}

absl::Status check_envelope(const http_request& request,
                            const caller_limits& limits)
{
    if (!is_json(request.content_type))
    {
        return make_error(error_kind::unsupported_media_type,
                          "send the request with Content-Type: "
                          "application/json");
    }
    if (request.body.size() > limits.max_request_bytes)
    {
        return make_error(
            error_kind::too_large,
            fmt::format("the request has {} bytes, more than {}; keep the "
                        "input in the object store and send its name",
                        request.body.size(), limits.max_request_bytes));
    }
    if (!is_valid_utf8(request.body))
    {
        return invalid("the request is not valid UTF-8; encode text as UTF-8 "
                       "and binary data as Base64");
    }
    // The message of the parser does not say what to send instead.
    if (!has_valid_surrogate_pairs(request.body))
    {
        return invalid("the request holds half of an escaped surrogate pair; "
                       "encode binary data as Base64");
    }
    return absl::OkStatus();
}

// Rejects repeated fields: parsers differ in which one counts.
absl::Status check_members(const json_value& tree)
{
    std::set<std::string_view> seen;
    for (const auto& [name, member] : tree.GetObject())
    {
        if (!seen.insert(text_of(name)).second)
        {
            return invalid(fmt::format("field '{}' occurs twice; send it once",
                                       text_of(name)));
        }
        if (member.IsObject())
        {
            const absl::Status status = check_members(member);
            if (!status.ok())
            {
                return status;
            }
        }
    }
    return absl::OkStatus();
}

absl::Status check_presence(const json_value& tree)
{
    for (const char* name : required_fields)
    {
        if (find_member(tree, name) == nullptr)
        {
            return invalid(fmt::format("field '{}' is missing; add it", name));
        }
    }
    for (const char* name : {"cpu_cores", "memory_mb"})
    {
        if (find_member(*find_member(tree, "size"), name) == nullptr)
        {
            return invalid(
                fmt::format("field 'size.{}' is missing; add it", name));
        }
    }
    return absl::OkStatus();
}

wire_request apply_defaults(const json_value& tree, wire_request wire,
                            const caller_limits& limits)
{
    const bool urgent = wire.urgency == "urgent";
    if (find_member(tree, "checkpointable") == nullptr)
    {
        wire.checkpointable = !urgent;
    }
    if (urgent && find_member(tree, "deadline_ms") == nullptr)
    {
        wire.deadline_ms = limits.default_urgent_deadline_ms;
    }
    if (urgent && find_member(tree, "wait_ms") == nullptr)
    {
        wire.wait_ms = std::min(wire.deadline_ms, limits.max_wait_ms);
    }
    return wire;
}

absl::StatusOr<wire_request> decode(const std::string& text,
                                    const caller_limits& limits)
{
    const absl::StatusOr<json_document> document = parse_json(text);
    if (!document.ok())
    {
        return document.status();
    }
    const json_value& tree = document->root();
    wire_request wire;
    absl::Status status = codec::read(tree, wire, codec::unknown_fields::reject,
                                      codec::field_path{});
    if (status.ok())
    {
        status = check_members(tree);
    }
    if (status.ok())
    {
        status = check_presence(tree);
    }
    if (!status.ok())
    {
        return status;
    }
    return apply_defaults(tree, wire, limits);
}

absl::Status check_texts(const wire_request& wire, const caller_limits& limits)
{
    for (const auto& [field, value] :
         {std::pair("id", &wire.id), std::pair("team", &wire.team),
          std::pair("kind", &wire.kind)})
    {
        const absl::Status status = check_caller_name(field, *value);
        if (!status.ok())
        {
            return status;
        }
    }
    if (wire.urgency != "urgent" && wire.urgency != "batch")
    {
        return invalid("'urgency' must be \"urgent\" or \"batch\"");
    }
    if (wire.body.size() > limits.max_body_bytes)
    {
        return make_error(
            error_kind::too_large,
            fmt::format("'body' has {} bytes, more than {}; keep the input "
                        "in the object store and send its name",
                        wire.body.size(), limits.max_body_bytes));
    }
    return absl::OkStatus();
}

absl::Status check_numbers(const wire_request& wire,
                           const caller_limits& limits)
{
    const bool urgent = wire.urgency == "urgent";
    const auto number = [](std::int64_t value)
    {
        return static_cast<double>(value);
    };
    const std::array<absl::Status, 6> checks{
        check_caller_range("size.cpu_cores", wire.size.cpu_cores, 0.001,
                           max_cpu_cores),
        check_caller_range("size.memory_mb", wire.size.memory_mb, 1,
                           max_memory_mb),
        check_caller_range("size.accelerators", wire.size.accelerators, 0,
                           max_accelerators),
        check_caller_range("expected_ms", number(wire.expected_ms), 0,
                           number(max_expected_ms)),
        check_caller_range(
            "deadline_ms", number(wire.deadline_ms), urgent ? 1 : 0,
            number(urgent ? max_urgent_deadline_ms : max_batch_deadline_ms)),
        check_caller_range("wait_ms", number(wire.wait_ms), 0,
                           number(limits.max_wait_ms))};
    for (const absl::Status& status : checks)
    {
        if (!status.ok())
        {
            return status;
        }
    }
    return absl::OkStatus();
}

request_spec to_spec(wire_request wire)
{
    request_spec spec;
    spec.id = std::move(wire.id);
    spec.team = std::move(wire.team);
    spec.kind = std::move(wire.kind);
    spec.urgent = wire.urgency == "urgent";
    spec.idempotent = wire.idempotent;
    spec.checkpointable = wire.checkpointable;
    spec.size = wire.size;
    spec.expected_ms = wire.expected_ms;
    spec.deadline_ms = wire.deadline_ms;
    spec.body = std::move(wire.body);
    return spec;
}

} // namespace

absl::StatusOr<caller_request> parse_caller_request(const http_request& request,
                                                    const caller_limits& limits)
{
    absl::Status status = check_envelope(request, limits);
    if (!status.ok())
    {
        return status;
    }
    absl::StatusOr<wire_request> wire = decode(request.body, limits);
    if (!wire.ok())
    {
        return wire.status();
    }
    status = check_texts(*wire, limits);
    if (status.ok())
    {
        status = check_numbers(*wire, limits);
    }
    if (!status.ok())
    {
        return status;
    }
    const std::int64_t wait_ms = wire->wait_ms;
    return caller_request{to_spec(*std::move(wire)), wait_ms};
}

} // namespace egretspindle
