// Lookup responses that name entry instances of another region commit traffic until their TTL has passed.
#pragma once

#include <cstdint>
#include <map>

#include "trefoilstile/shift/shift_budget.hpp"

namespace trefoilstile::shift
{

/// A number of lookup responses that the caller I/O thread may give out on its own.
struct LookupGrant {
    std::uint64_t id{}; ///< 0: nothing was granted
    std::uint32_t responses{};
};

/// Counts commitments against the same quota as forwarded requests.
///
/// A response counts from the moment it is granted, so the I/O thread may give it out at any later moment. Once the
/// thread reports that it gave it out, it counts for its TTL on the slowest clock and one window more, from the report
/// on. A grant that is never reported stays counted. Only the own quota is committed, never a loan, as that may end
/// before the TTL.
///
/// Memory: endings are rounded up to 250 ms, and a TTL is at most `ShiftOptions::maximumCommitment`, so each pair has at
/// most 241 of them at the default; grants are limited to 8 for each pair. After a document that lowers a cap, the
/// embedder has to publish a snapshot without the old grants.
class CommitmentLedger
{
public:
    /// `budget` must outlive the ledger.
    explicit CommitmentLedger(ShiftBudget &budget);

    /// Sets the quota for up to `wanted` responses aside. `unitsEach` is `requestsPerResponse` in units; `maximumTtl` the
    /// longest TTL that they may have. Nothing if that is longer than `ShiftOptions::maximumCommitment`.
    LookupGrant grant(const RegionPair &link, std::uint32_t wanted, Units unitsEach, base::Duration maximumTtl, base::TimePoint now);

    /// Responses of the grant were given out at some moment up to `now`. Throws `Error` for more than is left, for a TTL
    /// beyond that of the grant, or for an unknown grant.
    void commit(std::uint64_t grantId, std::uint32_t responses, base::Duration ttl, base::TimePoint now);

    /// Responses of the grant that will not be given out.
    void cancel(std::uint64_t grantId, std::uint32_t responses);

    /// Releases the commitments whose time has passed.
    void releaseExpired(base::TimePoint now);

    /// Units of the pair that are committed by responses given out; grants not included.
    Units committed(const RegionPair &link) const;

private:
    struct Grant {
        RegionPair link;
        Units unitsEach{};
        std::uint32_t left{};
        base::Duration maximumTtl{};
    };
    using Grants = std::map<std::uint64_t, Grant>;

    Grants::iterator find(std::uint64_t grantId, std::uint32_t responses);
    void reduce(Grants::iterator grant, std::uint32_t responses);

    ShiftBudget &m_budget;
    std::uint64_t m_lastGrant = 0;
    Grants m_grants;
    std::map<RegionPair, std::map<base::TimePoint, Units>> m_endings; ///< units by the time at which they are released
};

} // namespace trefoilstile::shift
