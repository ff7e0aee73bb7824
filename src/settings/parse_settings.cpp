#include "egretspindle/core/endpoint.hpp"
#include "egretspindle/core/error.hpp"
#include "egretspindle/logging/log.hpp"
#include "egretspindle/settings/settings.hpp"

#include "number_fields.hpp"
#include "settings_reader.hpp"

#include <algorithm>
#include <fstream>
#include <iterator>
#include <optional>

namespace egretspindle
{

namespace
{

constexpr std::string_view expected_endpoint =
    "an address as ip:port, for example \"10.0.0.1:8080\"";
constexpr std::string_view expected_name =
    "a name of 1 to 128 letters, digits, '.', '_' or '-'";
constexpr std::string_view expected_secret = "at least 16 characters";
constexpr std::size_t min_secret_size = 16;

bool is_name(const std::string& text)
{
    return !text.empty() && text.size() <= 128 &&
           std::all_of(text.begin(), text.end(),
                       [](char c)
                       {
                           return (c >= '0' && c <= '9') ||
                                  (c >= 'A' && c <= 'Z') ||
                                  (c >= 'a' && c <= 'z') || c == '.' ||
                                  c == '_' || c == '-';
                       });
}

std::string quoted(std::string_view text)
{
    return fmt::format("\"{}\"", text);
}

std::string read_endpoint(table_reader& reader, const char* name,
                          bool is_optional = false)
{
    std::string text = reader.text(name, expected_endpoint, is_optional);
    if (!text.empty() && !parse_endpoint(text).ok())
    {
        reader.add_error(name, quoted(text), expected_endpoint);
    }
    return text;
}

std::string read_name(table_reader& reader, const char* name)
{
    std::string text = reader.text(name, expected_name);
    if (!text.empty() && !is_name(text))
    {
        reader.add_error(name, quoted(text), expected_name);
    }
    return text;
}

std::string read_choice(table_reader& reader, const char* name,
                        std::string_view default_value,
                        const std::vector<std::string_view>& choices)
{
    const std::string expected =
        fmt::format("one of {}", fmt::join(choices, ", "));
    const std::string text =
        reader.text(name, expected, !default_value.empty());
    if (text.empty())
    {
        return std::string(default_value);
    }
    if (std::find(choices.begin(), choices.end(), text) == choices.end())
    {
        reader.add_error(name, quoted(text), expected);
    }
    return text;
}

std::optional<std::string> read_secret_file(const std::string& directory,
                                            const std::string& path)
{
    std::ifstream in(path.front() == '/' ? path : directory + "/" + path);
    if (!in)
    {
        return std::nullopt;
    }
    std::string text{std::istreambuf_iterator<char>(in), {}};
    while (!text.empty() && (text.back() == '\n' || text.back() == '\r'))
    {
        text.pop_back();
    }
    return text;
}

// Reads a secret that is given inline or in a separate file. Its value never
// appears in an error message.
std::string read_secret(table_reader& reader, const std::string& name,
                        const std::string& directory)
{
    const std::string file_name = name + "_file";
    const toml::node* inline_node = reader.find(name.c_str());
    const toml::node* file_node = reader.find(file_name.c_str());
    const std::string either = fmt::format("either {} or {}", name, file_name);
    if ((inline_node == nullptr) == (file_node == nullptr))
    {
        reader.add_error(name, inline_node == nullptr ? "nothing" : "both",
                         either);
        return {};
    }
    const toml::node* node = inline_node != nullptr ? inline_node : file_node;
    const std::string& key = inline_node != nullptr ? name : file_name;
    if (!node->is_string() || node->as_string()->get().empty())
    {
        reader.add_error(key, "another type or an empty string", "a string");
        return {};
    }
    std::string secret = node->as_string()->get();
    if (file_node != nullptr)
    {
        const std::optional<std::string> content =
            read_secret_file(directory, secret);
        if (!content)
        {
            reader.add_error(key, quoted(secret), "a readable file");
            return {};
        }
        secret = *content;
    }
    if (secret.size() < min_secret_size)
    {
        reader.add_error(key, fmt::format("{} characters", secret.size()),
                         expected_secret);
    }
    return secret;
}

void read_addresses(table_reader& root, settings& value)
{
    table_reader listen = root.table("listen");
    value.listen.caller = read_endpoint(listen, "caller");
    value.listen.peer = read_endpoint(listen, "peer");
    value.listen.admin = read_endpoint(listen, "admin");
    listen.report_unknown_keys();
    const listen_settings& parsed = value.listen;
    if (!parsed.peer.empty() &&
        (parsed.peer == parsed.caller || parsed.peer == parsed.admin))
    {
        listen.add_error("peer", quoted(parsed.peer),
                         "an address that is not used by another listener");
    }
    if (!parsed.admin.empty() && parsed.admin == parsed.caller)
    {
        listen.add_error("admin", quoted(parsed.admin),
                         "an address that is not used by another listener");
    }
    table_reader advertise = root.table("advertise");
    value.advertise_peer = read_endpoint(advertise, "peer", true);
    advertise.report_unknown_keys();
    if (value.advertise_peer.empty())
    {
        value.advertise_peer = value.listen.peer;
    }
    if (value.advertise_peer.rfind("0.0.0.0:", 0) == 0)
    {
        advertise.add_error("peer", quoted(value.advertise_peer),
                            "an address that other hosts can reach");
    }
    table_reader platform = root.table("platform");
    value.platform.store = read_endpoint(platform, "store");
    value.platform.host_list = read_endpoint(platform, "host_list");
    platform.report_unknown_keys();
}

void read_cluster(table_reader& root, settings& value,
                  const std::string& directory)
{
    table_reader cluster = root.table("cluster");
    value.cluster.key = read_secret(cluster, "key", directory);
    const toml::array* seeds =
        cluster.array("seeds", "an array of addresses as ip:port");
    for (std::size_t n = 0; seeds != nullptr && n < seeds->size(); ++n)
    {
        const toml::node* node = seeds->get(n);
        if (!node->is_string() ||
            !parse_endpoint(node->as_string()->get()).ok())
        {
            cluster.add_error(fmt::format("seeds[{}]", n), describe(node),
                              expected_endpoint);
            continue;
        }
        value.cluster.seeds.push_back(node->as_string()->get());
    }
    table_reader addresses = cluster.table("addresses");
    if (addresses.get() != nullptr)
    {
        for (const auto& [key, node] : *addresses.get())
        {
            const std::string name(key.str());
            value.cluster.addresses[name] =
                read_endpoint(addresses, name.c_str());
        }
    }
    cluster.report_unknown_keys();
}

void read_operators(table_reader& root, settings& value,
                    settings_errors& errors, const std::string& directory)
{
    const toml::array* operators =
        root.array("operators", "[[operators]] tables");
    for (std::size_t n = 0; operators != nullptr && n < operators->size(); ++n)
    {
        const std::string path = fmt::format("operators[{}]", n);
        if (!operators->get(n)->is_table())
        {
            errors.add(path, describe(operators->get(n)), "a table");
            continue;
        }
        table_reader entry(operators->get(n)->as_table(), path, errors);
        operator_settings item;
        item.name = read_name(entry, "name");
        item.team = read_name(entry, "team");
        item.role = read_choice(entry, "role", "",
                                {"operator", "supervisor"}) == "supervisor"
                        ? operator_role::supervisor
                        : operator_role::member;
        item.token = read_secret(entry, "token", directory);
        entry.report_unknown_keys();
        for (const operator_settings& other : value.operators)
        {
            if (!item.name.empty() && other.name == item.name)
            {
                entry.add_error("name", quoted(item.name), "a unique name");
            }
            if (!item.token.empty() && other.token == item.token)
            {
                entry.add_error("token", "the token of " + other.name,
                                "a unique token");
            }
        }
        value.operators.push_back(std::move(item));
    }
}

void read_limits_and_timing(table_reader& root, settings& value)
{
    table_reader limits = root.table("limits");
    const auto read_limit = [&limits](const char* name, std::int64_t& number,
                                      std::int64_t lowest, std::int64_t highest)
    {
        limits.number(name, number, lowest, highest);
    };
    visit_limits(read_limit, value.limits);
    limits.report_unknown_keys();
    const limit_settings& parsed = value.limits;
    const auto require_less = [](table_reader& reader, const char* name,
                                 std::int64_t number, const char* bound_name,
                                 std::int64_t bound)
    {
        if (number >= bound)
        {
            reader.add_error(
                name, std::to_string(number),
                fmt::format("less than {} ({})", bound_name, bound));
        }
    };
    require_less(limits, "max_urgent_in_service", parsed.max_urgent_in_service,
                 "max_threads", parsed.max_threads);
    require_less(limits, "min_threads", parsed.min_threads, "max_threads",
                 parsed.max_threads);
    require_less(limits, "max_body_bytes", parsed.max_body_bytes,
                 "max_request_bytes", parsed.max_request_bytes);
    table_reader timing = root.table("timing");
    const auto read_time = [&timing](const char* name, std::int64_t& number,
                                     std::int64_t lowest, std::int64_t highest)
    {
        timing.number(name, number, lowest, highest);
    };
    visit_timing(read_time, value.timing);
    timing.report_unknown_keys();
    // A lease must outlast two lost renewals.
    require_less(timing, "renew_ms", value.timing.renew_ms, "lease_ms / 3",
                 value.timing.lease_ms / 3 + 1);
    require_less(timing, "probe_timeout_ms", value.timing.probe_timeout_ms,
                 "probe_ms", value.timing.probe_ms);
}

settings read_settings(const toml::table& document, settings_errors& errors,
                       const std::string& directory)
{
    settings value;
    table_reader root(&document, "", errors);
    table_reader host = root.table("host");
    value.host.name = read_name(host, "name");
    value.host.data_center = read_name(host, "data_center");
    value.host.region = read_name(host, "region");
    host.report_unknown_keys();
    read_addresses(root, value);
    read_cluster(root, value, directory);
    read_operators(root, value, errors, directory);
    read_limits_and_timing(root, value);
    table_reader log = root.table("log");
    value.log.format = read_choice(log, "format", "logfmt", {"logfmt", "json"});
    value.log.level = read_choice(log, "level", "info",
                                  {"debug", "info", "warning", "error"});
    log.report_unknown_keys();
    root.report_unknown_keys();
    return value;
}

} // namespace

absl::StatusOr<settings> parse_settings(std::string_view text,
                                        const std::string& directory)
{
    settings_errors errors;
    try
    {
        const toml::table document = toml::parse(text);
        settings value = read_settings(document, errors, directory);
        if (errors.lines.empty())
        {
            return value;
        }
    }
    catch (const toml::parse_error& ex)
    {
        errors.lines.push_back(fmt::format(
            "line {}, column {}: not valid TOML: {}", ex.source().begin.line,
            ex.source().begin.column, ex.description()));
    }
    return make_error(error_kind::invalid_argument,
                      fmt::format("{} error(s) in the settings:\n{}",
                                  errors.lines.size(),
                                  fmt::join(errors.lines, "\n")));
}

absl::StatusOr<settings> load_settings(const std::string& path)
{
    std::ifstream in(path);
    if (!in)
    {
        return make_error(
            error_kind::not_found,
            fmt::format("cannot read settings file '{}'; check the path",
                        path));
    }
    const std::string text{std::istreambuf_iterator<char>(in), {}};
    const std::size_t slash = path.rfind('/');
    absl::StatusOr<settings> value = parse_settings(
        text, slash == std::string::npos ? std::string(".")
                                         : path.substr(0, slash + 1));
    if (value.ok())
    {
        redact_in_logs(value->cluster.key);
        for (const operator_settings& item : value->operators)
        {
            redact_in_logs(item.token);
        }
    }
    return value;
}

} // namespace egretspindle
