// Claims of caller-generated idempotency keys: the table `claims`.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

#include "trefoilstile/engine/event.hpp"
#include "trefoilstile/tablestore/store.hpp"

namespace trefoilstile::tablestore
{

/// Stateless operations on claims. The key of a row is `<environment>.<hash of the caller's key>`.
class ClaimStore
{
public:
    explicit ClaimStore(Store &store);

    /// Claims a key by inserting its row. If the answer is lost, the insert is repeated; the conflict then shows which claim
    /// owns the row. Throws no `PlatformError`: if no definite answer can be obtained, the result is `Unavailable`, and
    /// the claim may exist.
    /// @param keyHash hash of the caller's key, in letters and digits
    /// @param claimId unique to this claim
    /// @param expiresAtMs wall clock in ms since 1970 after which no retry with the key is expected
    engine::ClaimResult claim(
        std::string_view environment, std::string_view keyHash, std::string_view claimId, std::int64_t expiresAtMs, Call call = {Purpose::Claims});

    /// Removes up to `limit` claims that expired before `nowMs` (ms since 1970). Returns the number removed.
    /// @throws Unavailable
    std::size_t removeExpired(std::string_view environment, std::int64_t nowMs, std::size_t limit, Call call = {Purpose::Statistics});

private:
    Store *m_store;
};

} // namespace trefoilstile::tablestore
