#include "link_mode.hpp"

#include <array>
#include <utility>

namespace egretspindle::standin
{

namespace
{

constexpr std::array<std::pair<link_mode, std::string_view>, 7> names{{
    {link_mode::pass, "pass"},
    {link_mode::delay, "delay"},
    {link_mode::drop, "drop"},
    {link_mode::reset, "reset"},
    {link_mode::cut_requests, "cut_requests"},
    {link_mode::cut_replies, "cut_replies"},
    {link_mode::cut_reply_after_request, "cut_reply_after_request"},
}};

} // namespace

std::string_view to_string(link_mode mode) noexcept
{
    for (const auto& [value, name] : names)
    {
        if (value == mode)
        {
            return name;
        }
    }
    return "";
}

std::optional<link_mode> parse_link_mode(std::string_view name) noexcept
{
    for (const auto& [value, text] : names)
    {
        if (text == name)
        {
            return value;
        }
    }
    return std::nullopt;
}

} // namespace egretspindle::standin
