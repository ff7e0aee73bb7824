#include "egretspindle/core/utf8.hpp"

#include <cstdint>
#include <cstring>

namespace egretspindle
{

namespace
{

// Returns the sequence length that a lead byte encodes, or 0 for other bytes.
std::size_t announced_length(unsigned char lead) noexcept
{
    if (lead < 0x80)
    {
        return 1;
    }
    if (lead >= 0xC2 && lead <= 0xDF)
    {
        return 2;
    }
    if (lead >= 0xE0 && lead <= 0xEF)
    {
        return 3;
    }
    return lead >= 0xF0 && lead <= 0xF4 ? 4 : 0;
}

// Returns whether the second byte excludes overlong forms, surrogates and
// values above U+10FFFF.
bool is_second_byte_valid(unsigned char lead, unsigned char second) noexcept
{
    switch (lead)
    {
    case 0xE0:
        return second >= 0xA0;
    case 0xED:
        return second < 0xA0;
    case 0xF0:
        return second >= 0x90;
    case 0xF4:
        return second < 0x90;
    default:
        return true;
    }
}

// Returns whether the text starts with eight bytes below 0x80.
bool starts_with_ascii_block(std::string_view text) noexcept
{
    std::uint64_t block = 0;
    if (text.size() < sizeof block)
    {
        return false;
    }
    std::memcpy(&block, text.data(), sizeof block);
    return (block & 0x8080808080808080U) == 0;
}

} // namespace

std::size_t utf8_sequence_length(std::string_view text) noexcept
{
    if (text.empty())
    {
        return 0;
    }
    const auto lead = static_cast<unsigned char>(text[0]);
    const std::size_t n = announced_length(lead);
    if (n == 0 || n > text.size())
    {
        return 0;
    }
    for (std::size_t it = 1; it < n; ++it)
    {
        if ((static_cast<unsigned char>(text[it]) & 0xC0) != 0x80)
        {
            return 0;
        }
    }
    return n == 1 || is_second_byte_valid(lead,
                                          static_cast<unsigned char>(text[1]))
               ? n
               : 0;
}

bool is_valid_utf8(std::string_view text) noexcept
{
    while (!text.empty())
    {
        // Nearly all text is ASCII, which is skipped in blocks.
        if (starts_with_ascii_block(text))
        {
            text.remove_prefix(sizeof(std::uint64_t));
            continue;
        }
        const std::size_t n = utf8_sequence_length(text);
        if (n == 0)
        {
            return false;
        }
        text.remove_prefix(n);
    }
    return true;
}

std::string replace_invalid_utf8(std::string_view text)
{
    std::string out;
    out.reserve(text.size());
    while (!text.empty())
    {
        const std::size_t n = utf8_sequence_length(text);
        if (n == 0)
        {
            out += '?';
            text.remove_prefix(1);
        }
        else
        {
            out.append(text.substr(0, n));
            text.remove_prefix(n);
        }
    }
    return out;
}

} // namespace egretspindle
