#include "egretspindle/core/rendezvous_hash.hpp"

#include <xxhash.h>

namespace egretspindle
{

std::uint64_t stable_hash(std::string_view text, std::uint64_t seed) noexcept
{
    return XXH64(text.data(), text.size(), seed);
}

std::size_t rendezvous_choice(std::string_view key,
                              absl::Span<const std::string> candidates) noexcept
{
    const std::uint64_t key_hash = stable_hash(key);
    std::size_t best = candidates.size();
    std::uint64_t best_weight = 0;
    for (std::size_t n = 0; n < candidates.size(); ++n)
    {
        const std::uint64_t weight = stable_hash(candidates[n], key_hash);
        if (best == candidates.size() || weight > best_weight ||
            (weight == best_weight && candidates[n] < candidates[best]))
        {
            best = n;
            best_weight = weight;
        }
    }
    return best;
}

} // namespace egretspindle
