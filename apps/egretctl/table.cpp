#include "table.hpp"

#include <algorithm>
#include <ctime>

namespace egretspindle::ctl
{

std::string format_table(const table_rows& rows)
{
    std::vector<std::size_t> widths;
    for (const std::vector<std::string>& row : rows)
    {
        widths.resize(std::max(widths.size(), row.size()));
        for (std::size_t n = 0; n < row.size(); ++n)
        {
            widths[n] = std::max(widths[n], row[n].size());
        }
    }
    std::string text;
    for (const std::vector<std::string>& row : rows)
    {
        for (std::size_t n = 0; n < row.size(); ++n)
        {
            text += printable(row[n]);
            if (n + 1 < row.size())
            {
                text += std::string(widths[n] - row[n].size() + 2, ' ');
            }
        }
        text += '\n';
    }
    return text;
}

std::string format_time(std::int64_t unix_ms)
{
    if (unix_ms == 0)
    {
        return "-";
    }
    const std::time_t seconds = unix_ms / 1000;
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    char buf[32];
    std::strftime(buf, sizeof buf, "%Y-%m-%d %H:%M:%S", &parts);
    return buf;
}

std::string printable(std::string_view text)
{
    std::string result(text);
    std::replace_if(
        result.begin(), result.end(),
        [](char c)
        {
            const auto byte = static_cast<unsigned char>(c);
            return (byte < 0x20 && c != '\n' && c != '\t') || byte == 0x7f;
        },
        '?');
    return result;
}

} // namespace egretspindle::ctl
