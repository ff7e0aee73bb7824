#include "egretspindle/net/message_auth.hpp"

#include <fmt/format.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

namespace egretspindle
{

std::string message_mac(std::string_view key, std::string_view type,
                        std::string_view sender, std::string_view payload)
{
    // The lengths ensure that different splits of the same text have different
    // MACs.
    const std::string text =
        fmt::format("{}:{}:{}\n{}{}{}", type.size(), sender.size(),
                    payload.size(), type, sender, payload);
    unsigned char digest[EVP_MAX_MD_SIZE];
    unsigned digest_size = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
         reinterpret_cast<const unsigned char*>(text.data()), text.size(),
         digest, &digest_size);
    std::string hex;
    for (unsigned n = 0; n < digest_size; ++n)
    {
        hex += fmt::format("{:02x}", digest[n]);
    }
    return hex;
}

bool constant_time_equal(std::string_view lhs, std::string_view rhs) noexcept
{
    return lhs.size() == rhs.size() &&
           CRYPTO_memcmp(lhs.data(), rhs.data(), lhs.size()) == 0;
}

} // namespace egretspindle
