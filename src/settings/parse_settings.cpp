#include "egretspindle/core/error.hpp"
#include "egretspindle/logging/log.hpp"
#include "egretspindle/settings/settings.hpp"

#include "number_fields.hpp"
#include "settings_reader.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <charconv>
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
constexpr std::size_t shortest_secret = 16;

bool is_endpoint(const std::string& text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos)
    {
        return false;
    }
    in_addr address{};
    unsigned port = 0;
    const char* last = text.data() + text.size();
    const auto [end, ec] = std::from_chars(text.data() + colon + 1, last, port);
    return ::inet_pton(AF_INET, text.substr(0, colon).c_str(), &address) == 1 &&
           ec == std::errc() && end == last && port > 0 && port < 65536;
}

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
    if (!text.empty() && !is_endpoint(text))
    {
        reader.fail(name, quoted(text), expected_endpoint);
    }
    return text;
}

std::string read_name(table_reader& reader, const char* name)
{
    std::string text = reader.text(name, expected_name);
    if (!text.empty() && !is_name(text))
    {
        reader.fail(name, quoted(text), expected_name);
    }
    return text;
}

std::string read_choice(table_reader& reader, const char* name,
                        std::string_view fallback,
                        const std::vector<std::string_view>& choices)
{
    const std::string expected =
        fmt::format("one of {}", fmt::join(choices, ", "));
    const std::string text = reader.text(name, expected, !fallback.empty());
    if (text.empty())
    {
        return std::string(fallback);
    }
    if (std::find(choices.begin(), choices.end(), text) == choices.end())
    {
        reader.fail(name, quoted(text), expected);
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

// Reads a secret that is given in the settings or in a file of its own. Its
// value is never part of a message.
std::string read_secret(table_reader& reader, const std::string& name,
                        const std::string& directory)
{
    const std::string file_name = name + "_file";
    const toml::node* inline_node = reader.find(name.c_str());
    const toml::node* file_node = reader.find(file_name.c_str());
    const std::string either = fmt::format("either {} or {}", name, file_name);
    if ((inline_node == nullptr) == (file_node == nullptr))
    {
        reader.fail(name, inline_node == nullptr ? "nothing" : "both", either);
        return {};
    }
    const toml::node* node = inline_node != nullptr ? inline_node : file_node;
    const std::string& key = inline_node != nullptr ? name : file_name;
    if (!node->is_string() || node->as_string()->get().empty())
    {
        reader.fail(key, "another type or an empty text", "a text");
        return {};
    }
    std::string secret = node->as_string()->get();
    if (file_node != nullptr)
    {
        const std::optional<std::string> content =
            read_secret_file(directory, secret);
        if (!content)
        {
            reader.fail(key, quoted(secret), "a file that can be read");
            return {};
        }
        secret = *content;
    }
    if (secret.size() < shortest_secret)
    {
        reader.fail(key, fmt::format("{} characters", secret.size()),
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
    listen.check_unknown();
    const listen_settings& set = value.listen;
    if (!set.peer.empty() && (set.peer == set.caller || set.peer == set.admin))
    {
        listen.fail("peer", quoted(set.peer), "an address of its own");
    }
    if (!set.admin.empty() && set.admin == set.caller)
    {
        listen.fail("admin", quoted(set.admin), "an address of its own");
    }
    table_reader advertise = root.table("advertise");
    value.advertise_peer = read_endpoint(advertise, "peer", true);
    advertise.check_unknown();
    if (value.advertise_peer.empty())
    {
        value.advertise_peer = value.listen.peer;
    }
    if (value.advertise_peer.rfind("0.0.0.0:", 0) == 0)
    {
        advertise.fail("peer", quoted(value.advertise_peer),
                       "an address that other hosts can reach");
    }
    table_reader platform = root.table("platform");
    value.platform.store = read_endpoint(platform, "store");
    value.platform.host_list = read_endpoint(platform, "host_list");
    platform.check_unknown();
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
        if (!node->is_string() || !is_endpoint(node->as_string()->get()))
        {
            cluster.fail(fmt::format("seeds[{}]", n), describe(node),
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
    cluster.check_unknown();
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
        entry.check_unknown();
        for (const operator_settings& other : value.operators)
        {
            if (!item.name.empty() && other.name == item.name)
            {
                entry.fail("name", quoted(item.name), "a name used once");
            }
            if (!item.token.empty() && other.token == item.token)
            {
                entry.fail("token", "the token of " + other.name,
                           "a token of its own");
            }
        }
        value.operators.push_back(std::move(item));
    }
}

void read_numbers(table_reader& root, settings& value)
{
    table_reader limits = root.table("limits");
    const auto read_limit = [&limits](const char* name, std::int64_t& number,
                                      std::int64_t lowest, std::int64_t highest)
    {
        limits.number(name, number, lowest, highest);
    };
    visit_limits(read_limit, value.limits);
    limits.check_unknown();
    const limit_settings& set = value.limits;
    const auto expect_below = [](table_reader& reader, const char* name,
                                 std::int64_t number, const char* bound_name,
                                 std::int64_t bound)
    {
        if (number >= bound)
        {
            reader.fail(name, std::to_string(number),
                        fmt::format("less than {} ({})", bound_name, bound));
        }
    };
    expect_below(limits, "max_urgent_in_service", set.max_urgent_in_service,
                 "max_threads", set.max_threads);
    expect_below(limits, "min_threads", set.min_threads, "max_threads",
                 set.max_threads);
    expect_below(limits, "max_body_bytes", set.max_body_bytes,
                 "max_request_bytes", set.max_request_bytes);
    table_reader timing = root.table("timing");
    const auto read_time = [&timing](const char* name, std::int64_t& number,
                                     std::int64_t lowest, std::int64_t highest)
    {
        timing.number(name, number, lowest, highest);
    };
    visit_timing(read_time, value.timing);
    timing.check_unknown();
    // Two renewals may be lost before a lease expires.
    expect_below(timing, "renew_ms", value.timing.renew_ms, "lease_ms / 3",
                 value.timing.lease_ms / 3 + 1);
    expect_below(timing, "probe_timeout_ms", value.timing.probe_timeout_ms,
                 "probe_ms", value.timing.probe_ms);
}

settings read_all(const toml::table& document, settings_errors& errors,
                  const std::string& directory)
{
    settings value;
    table_reader root(&document, "", errors);
    table_reader host = root.table("host");
    value.host.name = read_name(host, "name");
    value.host.data_center = read_name(host, "data_center");
    value.host.region = read_name(host, "region");
    host.check_unknown();
    read_addresses(root, value);
    read_cluster(root, value, directory);
    read_operators(root, value, errors, directory);
    read_numbers(root, value);
    table_reader log = root.table("log");
    value.log.format = read_choice(log, "format", "logfmt", {"logfmt", "json"});
    value.log.level = read_choice(log, "level", "info",
                                  {"debug", "info", "warning", "error"});
    log.check_unknown();
    root.check_unknown();
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
        settings value = read_all(document, errors, directory);
        if (errors.lines.empty())
        {
            return value;
        }
    }
    catch (const toml::parse_error& ex)
    {
        errors.lines.push_back(
            fmt::format("line {}, column {}: not TOML, correct it: {}",
                        ex.source().begin.line, ex.source().begin.column,
                        ex.description()));
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
