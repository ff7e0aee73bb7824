#include "egretspindle/scheduler/shard.hpp"

#include "egretspindle/core/rendezvous_hash.hpp"

#include <fmt/format.h>

namespace egretspindle
{

row_condition require_rack_fence(const std::string& rack, std::int64_t token)
{
    return {std::string(rack_fences_table), rack, std::string(rack_fence_key),
            token};
}

std::string shard_of(std::string_view job_id)
{
    return shard_name(static_cast<int>(stable_hash(job_id) %
                                       static_cast<unsigned>(shard_count)));
}

std::string shard_name(int number)
{
    return fmt::format("j{:02}", number);
}

} // namespace egretspindle
