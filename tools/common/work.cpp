#include "work.hpp"

#include "egretspindle/codec/json.hpp"
#include "egretspindle/core/rendezvous_hash.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace egretspindle::standin
{

work parse_work(std::string_view body)
{
    if (!body.empty() && body.front() == '{')
    {
        const absl::StatusOr<work> value = from_json<work>(body);
        if (value.ok())
        {
            return *value;
        }
    }
    work echo;
    echo.is_echo = true;
    return echo;
}

std::string answer_of(std::string_view key, std::string_view body)
{
    const work value = parse_work(body);
    const std::uint64_t digest = stable_hash(body, stable_hash(key));
    std::string payload;
    if (value.is_echo)
    {
        payload = std::string(body);
    }
    else
    {
        const std::size_t size =
            static_cast<std::size_t>(std::max(0L, value.answer_bytes));
        payload.reserve(size);
        for (std::size_t n = 0; n < size; ++n)
        {
            payload += static_cast<char>('a' + (digest + n * 7 + n / 26) % 26);
        }
    }
    return fmt::format("{}|{:016x}|{}|end", key, digest, payload);
}

} // namespace egretspindle::standin
