#include "egretspindle/plan/plan_digest.hpp"

#include <fmt/format.h>
#include <openssl/sha.h>

#include <array>

namespace egretspindle
{

std::string plan_digest(std::string_view document)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> buf{};
    SHA256(reinterpret_cast<const unsigned char*>(document.data()),
           document.size(), buf.data());
    std::string text;
    for (const unsigned char byte : buf)
    {
        text += fmt::format("{:02x}", byte);
    }
    return text;
}

} // namespace egretspindle
