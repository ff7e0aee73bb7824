#include "egretspindle/core/endpoint.hpp"
#include "egretspindle/core/error.hpp"
#include "egretspindle/settings/scheduler_settings.hpp"

#include "settings_reader.hpp"

#include <fmt/format.h>

#include <optional>

namespace egretspindle
{

namespace
{

constexpr std::string_view expected_endpoint =
    "an address as ip:port, for example \"10.0.0.1:8080\"";
constexpr std::int64_t max_lease_bound_ms = 600'000;
// A longer time is most likely given in the wrong unit.
constexpr std::int64_t max_drain_bound_ms = 60'000;
// A longer time is most likely given in milliseconds.
constexpr double max_grace_s = 600;
// Far above any entry host; a larger value is most likely in the wrong unit.
constexpr double max_processors = 1'024;

std::optional<toml::table> parse_toml(std::string_view text, std::string& error)
{
    try
    {
        return toml::parse(text);
    }
    catch (const toml::parse_error& ex)
    {
        error = fmt::format("{}, line {}", ex.description(),
                            ex.source().begin.line);
        return std::nullopt;
    }
}

std::string read_endpoint(table_reader& reader, const char* name)
{
    std::string text = reader.text(name, expected_endpoint);
    if (!text.empty() && !parse_endpoint(text).ok())
    {
        reader.add_error(name, fmt::format("\"{}\"", text), expected_endpoint);
    }
    return text;
}

} // namespace

bool has_scheduler_settings(std::string_view text)
{
    std::string error;
    const std::optional<toml::table> document = parse_toml(text, error);
    return document && document->contains("scheduler");
}

absl::StatusOr<scheduler_settings>
parse_scheduler_settings(std::string_view text)
{
    std::string error;
    const std::optional<toml::table> document = parse_toml(text, error);
    if (!document)
    {
        return make_error(error_kind::invalid_argument,
                          "the settings are not valid TOML: " + error);
    }
    settings_errors errors;
    table_reader root(&*document, "", errors);
    table_reader reader = root.table("scheduler");
    scheduler_settings value;
    value.host = reader.text("host", "a name");
    value.data_center = reader.text("data_center", "a name");
    value.callers = read_endpoint(reader, "callers");
    value.ready = read_endpoint(reader, "ready");
    value.peer = read_endpoint(reader, "peer");
    value.store = read_endpoint(reader, "store");
    if (const toml::node* node = reader.find("transactions_span_parts"))
    {
        const std::optional<bool> flag = node->value<bool>();
        if (!flag)
        {
            reader.add_error("transactions_span_parts", describe(node),
                             "true or false");
        }
        value.may_span_parts = flag.value_or(false);
    }
    reader.number("longest_lease_ms", value.longest_lease_ms, 1'000,
                  max_lease_bound_ms);
    reader.number("thaw_slack_ms", value.thaw_slack_ms, 0, max_lease_bound_ms);
    reader.number("drain_ms", value.drain_ms, 0, max_drain_bound_ms);
    reader.floating_point("grace_s", value.grace_s, 0.0, max_grace_s);
    reader.floating_point("processor_share", value.processor_share, 0.0,
                          max_processors);
    reader.report_unknown_keys();
    if (!errors.lines.empty())
    {
        return make_error(error_kind::invalid_argument,
                          fmt::format("{}", fmt::join(errors.lines, "\n")));
    }
    return value;
}

} // namespace egretspindle
