// Digests of API keys and the lookup of accounts.

#include "trefoilstile/ingress/account_index.hpp"

#include <algorithm>
#include <cstring>

#include <openssl/sha.h>

namespace trefoilstile::ingress
{

static_assert(std::tuple_size_v<KeyDigest> == SHA256_DIGEST_LENGTH);

KeyDigest digestOfKey(std::string_view key)
{
    KeyDigest digest{};
    SHA256(reinterpret_cast<const unsigned char *>(key.data()), key.size(), digest.data());
    return digest;
}

std::size_t AccountIndex::DigestHash::operator()(const KeyDigest &digest) const
{
    std::size_t hash = 0;
    std::memcpy(&hash, digest.data(), sizeof(hash));
    return hash;
}

AccountIndex::AccountIndex(const Configuration &configuration)
    : m_hasAccounts(!configuration.accounts.empty())
{
    const auto statesAccess = [](const Route &route) {
        return route.access != RouteAccess::Unspecified;
    };
    m_inUse = m_hasAccounts || std::any_of(configuration.routes.begin(), configuration.routes.end(), statesAccess);
    for (const Account &account : configuration.accounts) {
        const auto shared = std::make_shared<const Account>(account);
        for (const KeyDigest &digest : account.keys) {
            m_byKey.emplace(digest, shared);
        }
    }
}

std::shared_ptr<const Account> AccountIndex::find(const KeyDigest &digest) const
{
    const auto found = m_byKey.find(digest);
    return found == m_byKey.end() ? nullptr : found->second;
}

} // namespace trefoilstile::ingress
