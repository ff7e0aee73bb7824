#include "egretspindle/logging/log_line.hpp"

#include "egretspindle/core/utf8.hpp"

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <array>
#include <ctime>
#include <iterator>

namespace egretspindle
{

namespace
{

constexpr std::string_view redacted = "[redacted]";

bool ends_with(std::string_view text, std::string_view suffix) noexcept
{
    return text.size() >= suffix.size() &&
           text.substr(text.size() - suffix.size()) == suffix;
}

bool is_credential_name(std::string_view name) noexcept
{
    constexpr std::array<std::string_view, 5> names{
        "token", "mac", "authorization", "secret", "password"};
    for (const std::string_view candidate : names)
    {
        if (name == candidate)
        {
            return true;
        }
    }
    return ends_with(name, "_token") || ends_with(name, "_key") ||
           ends_with(name, "_secret");
}

void append_escaped(std::string& out, std::string_view text)
{
    const std::string valid = replace_invalid_utf8(text);
    for (const char c : valid)
    {
        switch (c)
        {
        case '"':
            out += "\\\"";
            break;
        case '\\':
            out += "\\\\";
            break;
        case '\n':
            out += "\\n";
            break;
        case '\t':
            out += "\\t";
            break;
        default:
            if (static_cast<unsigned char>(c) < 0x20 || c == 0x7F)
            {
                fmt::format_to(std::back_inserter(out), "\\u{:04x}",
                               static_cast<unsigned char>(c));
            }
            else
            {
                out += c;
            }
        }
    }
}

void append_quoted(std::string& out, std::string_view text)
{
    out += '"';
    append_escaped(out, text);
    out += '"';
}

// Returns whether a logfmt value needs no quotes: it is not empty and has no
// space, quote, equals sign or other special character.
bool needs_no_quotes(std::string_view text) noexcept
{
    for (const char c : text)
    {
        const bool is_plain =
            (c >= '0' && c <= '9') || (c >= 'A' && c <= 'Z') ||
            (c >= 'a' && c <= 'z') ||
            std::string_view("._-/:+,@%").find(c) != std::string_view::npos;
        if (!is_plain)
        {
            return false;
        }
    }
    return !text.empty();
}

std::string format_time(std::int64_t time_ms)
{
    const std::time_t seconds = time_ms / 1000;
    std::tm utc{};
    ::gmtime_r(&seconds, &utc);
    return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z", utc, time_ms % 1000);
}

void append_field(std::string& out, log_format format, const log_field& field)
{
    const bool is_redacted = is_credential_name(field.name);
    const std::string_view value =
        is_redacted ? redacted : std::string_view(field.value);
    const bool is_quoted = field.is_quoted || is_redacted;
    if (format == log_format::json)
    {
        out += out.size() == 1 ? "" : ",";
        append_quoted(out, field.name);
        out += ':';
    }
    else
    {
        out += out.empty() ? "" : " ";
        out += field.name;
        out += '=';
    }
    if (is_quoted && (format == log_format::json || !needs_no_quotes(value)))
    {
        append_quoted(out, value);
    }
    else
    {
        out += value;
    }
}

} // namespace

std::string format_log_line(log_format format, log_level level,
                            std::int64_t time_ms, std::string_view message,
                            absl::Span<const log_field> fields)
{
    std::string out = format == log_format::json ? "{" : "";
    append_field(out, format, {"time", format_time(time_ms)});
    append_field(out, format, {"level", to_string(level)});
    append_field(out, format, {"msg", message});
    for (const log_field& field : fields)
    {
        append_field(out, format, field);
    }
    out += format == log_format::json ? "}\n" : "\n";
    return out;
}

} // namespace egretspindle
