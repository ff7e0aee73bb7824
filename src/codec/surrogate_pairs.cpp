#include "egretspindle/codec/surrogate_pairs.hpp"

#include <charconv>

namespace egretspindle
{

namespace
{

// Returns the code unit of a `\\uXXXX` escape at the start of `text`, or 0.
unsigned escaped_unit(std::string_view text) noexcept
{
    unsigned unit = 0;
    if (text.size() >= 6 && text[0] == '\\' && text[1] == 'u')
    {
        std::from_chars(text.data() + 2, text.data() + 6, unit, 16);
    }
    return unit;
}

} // namespace

bool has_valid_surrogate_pairs(std::string_view text) noexcept
{
    for (std::size_t n = text.find('\\'); n != std::string_view::npos;
         n = text.find('\\', n))
    {
        const unsigned unit = escaped_unit(text.substr(n));
        if (unit < 0xD800 || unit > 0xDFFF)
        {
            n += 2;
            continue;
        }
        const unsigned next =
            n + 6 < text.size() ? escaped_unit(text.substr(n + 6)) : 0;
        if (unit > 0xDBFF || next < 0xDC00 || next > 0xDFFF)
        {
            return false;
        }
        n += 12;
    }
    return true;
}

} // namespace egretspindle
