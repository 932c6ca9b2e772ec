// SHA-256 through OpenSSL.

#include <array>
#include <memory>

#include <fmt/format.h>
#include <openssl/evp.h>

#include "trefoilstile/document/parse.hpp"

namespace trefoilstile::document
{

std::string contentHash(std::string_view bytes)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned length = 0;
    if (EVP_Digest(bytes.data(), bytes.size(), digest.data(), &length, EVP_sha256(), nullptr) != 1) {
        throw base::Error("SHA-256 is not available");
    }
    std::string text;
    for (unsigned i = 0; i < length; ++i) {
        text += fmt::format("{:02x}", digest[i]);
    }
    return text;
}

} // namespace trefoilstile::document
