// Finds the client account that holds an API key, and decides which requests need one.
//
// Keys are kept as SHA-256 digests only. A lookup hashes the presented key, so its cost does not depend on the number of
// accounts, and a memory dump of an instance does not contain keys from this index.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string_view>
#include <unordered_map>

#include "trefoilstile/ingress/configuration.hpp"

namespace trefoilstile::ingress
{

/// SHA-256 digest of an API key.
KeyDigest digestOfKey(std::string_view key);

/// Accounts of one configuration by API key.
class AccountIndex
{
public:
    explicit AccountIndex(const Configuration &configuration);

    /// Account that holds the key, or null. A key of several accounts belongs to the first one in the configuration.
    std::shared_ptr<const Account> find(const KeyDigest &digest) const;

    /// True if requests on the route need the key of an account. A route that does not say so is public unless the
    /// configuration holds accounts.
    bool requiresAccount(const Route &route) const
    {
        return route.access == RouteAccess::Account || (route.access == RouteAccess::Unspecified && m_hasAccounts);
    }

    /// True if the configuration uses accounts. Keys and account names of callers are then not forwarded to upstreams.
    bool inUse() const
    {
        return m_inUse;
    }

private:
    struct DigestHash {
        /// The digest is uniformly distributed, so its first bytes are a good hash.
        std::size_t operator()(const KeyDigest &digest) const;
    };

    std::unordered_map<KeyDigest, std::shared_ptr<const Account>, DigestHash> m_byKey;
    bool m_hasAccounts = false;
    bool m_inUse = false;
};

} // namespace trefoilstile::ingress
