#include "egretspindle/request_path/request_record.hpp"

#include "egretspindle/core/rendezvous_hash.hpp"

#include <fmt/format.h>

namespace egretspindle
{

std::string record_key(std::string_view key)
{
    return fmt::format("request/{}", key);
}

int shard_of(std::string_view key) noexcept
{
    return static_cast<int>(stable_hash(key) % shard_count);
}

std::string open_prefix(std::string_view data_center, int shard)
{
    return fmt::format("open/{}/{:02}/", data_center, shard);
}

std::string open_key(std::string_view data_center, int shard,
                     std::string_view key)
{
    return open_prefix(data_center, shard) + std::string(key);
}

std::vector<std::string> targets_to_avoid(const request_record& record)
{
    if (record.failed_targets.empty())
    {
        return {};
    }
    return {record.failed_targets.back()};
}

} // namespace egretspindle
