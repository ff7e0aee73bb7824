#include "egretspindle/core/request_spec.hpp"

#include "egretspindle/core/rendezvous_hash.hpp"

#include <fmt/format.h>

namespace egretspindle
{

std::string key_of(const request_spec& spec)
{
    return fmt::format("{}/{}", spec.team, spec.id);
}

std::string digest_of(const request_spec& spec)
{
    const std::string text =
        fmt::format("{}\n{}{}{}\n{} {} {}\n{} {}\n{}", spec.kind, spec.urgent,
                    spec.idempotent, spec.checkpointable, spec.size.cpu_cores,
                    spec.size.memory_mb, spec.size.accelerators,
                    spec.expected_ms, spec.deadline_ms, spec.body);
    // Two seeds give 128 bits, which makes collisions negligible.
    return fmt::format("{:016x}{:016x}", stable_hash(text, 1),
                       stable_hash(text, 2));
}

} // namespace egretspindle
