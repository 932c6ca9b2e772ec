// Claims of caller-generated idempotency keys: the table `claims`.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

#include "trefoilstile/engine/event.hpp"
#include "trefoilstile/tablestore/store.hpp"

namespace trefoilstile::tablestore
{

/// Operations on claims; keeps no state. The key of a row is `<environment>.<hash of the caller's key>`.
class ClaimStore
{
public:
    explicit ClaimStore(Store &store);

    /// Claims a key by inserting its row. A lost answer is settled by reading the row back. Throws nothing of this
    /// module: whatever prevents a definite answer is `Unavailable`, after which the claim may exist.
    /// @param keyHash hash of the caller's key, in letters and digits
    /// @param claimId never used twice
    /// @param expiresAtMs wall clock in ms since 1970 after which no repeat of the key can come
    engine::ClaimResult claim(
        std::string_view environment, std::string_view keyHash, std::string_view claimId, std::int64_t expiresAtMs, Call call = {Purpose::Claims});

    /// Removes up to `limit` claims that expired before `nowMs`. Returns how many were removed.
    /// @throws Unavailable
    std::size_t removeExpired(std::string_view environment, std::int64_t nowMs, std::size_t limit, Call call = {Purpose::Statistics});

private:
    Store *m_store;
};

} // namespace trefoilstile::tablestore
