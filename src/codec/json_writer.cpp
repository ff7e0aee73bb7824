#include "egretspindle/codec/json_writer.hpp"

#include "egretspindle/core/utf8.hpp"

#include <cmath>
#include <cstdint>
#include <cstring>

namespace egretspindle::codec
{

namespace
{

constexpr double integer_limit = 9223372036854775808.0; // 2^63

constexpr std::uint64_t repeat_byte(unsigned char c) noexcept
{
    return 0x0101010101010101U * c;
}

// Returns a value in which the highest bit of a byte is set where the byte of
// `block` is zero. Bytes after a zero byte may be marked as well.
constexpr std::uint64_t mark_zero_bytes(std::uint64_t block) noexcept
{
    return (block - repeat_byte(1)) & ~block;
}

// Returns whether eight characters need no escaping.
bool is_plain_block(const char* text) noexcept
{
    std::uint64_t block = 0;
    std::memcpy(&block, text, sizeof block);
    const std::uint64_t marked = block | (block - repeat_byte(0x20)) |
                                 mark_zero_bytes(block ^ repeat_byte('"')) |
                                 mark_zero_bytes(block ^ repeat_byte('\\'));
    return (marked & repeat_byte(0x80)) == 0;
}

bool is_plain(char c) noexcept
{
    const auto code = static_cast<unsigned char>(c);
    return code >= 0x20 && code < 0x80 && c != '"' && c != '\\';
}

bool is_plain(std::string_view text) noexcept
{
    while (text.size() >= sizeof(std::uint64_t))
    {
        if (!is_plain_block(text.data()))
        {
            return false;
        }
        text.remove_prefix(sizeof(std::uint64_t));
    }
    for (const char c : text)
    {
        if (!is_plain(c))
        {
            return false;
        }
    }
    return true;
}

} // namespace

json_writer::json_writer(std::string& out) : stream_(out)
{
    Reset(stream_);
}

void json_writer::text(std::string_view value)
{
    // Nearly all strings are names, ids or base64. Copying them in one piece is
    // much faster than the writer's loop over characters.
    if (is_plain(value))
    {
        Prefix(rapidjson::kStringType);
        stream_.Put('"');
        stream_.append(value);
        stream_.Put('"');
        return;
    }
    if (!is_valid_utf8(value))
    {
        text(replace_invalid_utf8(value));
        return;
    }
    String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
}

void json_writer::number(double value)
{
    if (!std::isfinite(value))
    {
        Null();
    }
    else if (std::fabs(value) < integer_limit && value == std::trunc(value))
    {
        // Written without ".0", so that readers that expect an integer accept
        // it.
        Int64(static_cast<std::int64_t>(value));
    }
    else
    {
        Double(value);
    }
}

} // namespace egretspindle::codec
