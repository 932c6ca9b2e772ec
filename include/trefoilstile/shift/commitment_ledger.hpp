// Accounting of lookup responses that name entry instances of another region: each commits quota until its TTL expires.
#pragma once

#include <cstdint>
#include <map>

#include "trefoilstile/shift/shift_budget.hpp"

namespace trefoilstile::shift
{

/// Number of lookup responses that the caller I/O thread may send without a further grant.
struct LookupGrant {
    std::uint64_t id{}; ///< 0: nothing was granted
    std::uint32_t responses{};
};

/// Counts commitments against the same quota as forwarded requests.
///
/// A response counts from the moment it is granted, so the I/O thread may send it at any later time. Once the thread
/// reports that it was sent, it counts from the report on for its TTL, measured by the slowest clock, plus one window. A
/// grant that is never reported stays counted. Only the instance's own quota is committed, never a loan, because a loan
/// may end before the TTL.
///
/// Memory: release times are rounded up to 250 ms and a TTL is at most `ShiftOptions::maximumCommitment`, so each pair of
/// regions has at most 241 release times with the default options. Each pair has at most 8 open grants. After a document
/// that lowers a cap, the embedder has to publish a snapshot without the old grants.
class CommitmentLedger
{
public:
    /// `budget` must outlive the ledger.
    explicit CommitmentLedger(ShiftBudget &budget);

    /// Holds the quota for up to `wanted` responses. `unitsPerResponse` is `requestsPerResponse` in units; `maximumTtl` is
    /// the longest TTL that the responses may have. Grants nothing if `maximumTtl` exceeds
    /// `ShiftOptions::maximumCommitment` or the pair has the maximum number of open grants.
    LookupGrant grant(const RegionPair &link, std::uint32_t wanted, Units unitsPerResponse, base::Duration maximumTtl, base::TimePoint now);

    /// Reports that responses of the grant were sent at some time up to `now`. Throws `Error` if fewer responses remain,
    /// if the TTL exceeds that of the grant, or if the grant is unknown.
    void commit(std::uint64_t grantId, std::uint32_t responses, base::Duration ttl, base::TimePoint now);

    /// Releases the quota of responses that will not be sent. Throws `Error` if fewer responses remain or the grant is
    /// unknown.
    void cancel(std::uint64_t grantId, std::uint32_t responses);

    /// Releases the commitments whose release time has been reached.
    void releaseExpired(base::TimePoint now);

    /// Units committed for the pair by responses already sent; open grants are not included.
    Units committed(const RegionPair &link) const;

private:
    struct Grant {
        RegionPair link;
        Units unitsPerResponse{};
        std::uint32_t remaining{};
        base::Duration maximumTtl{};
    };
    using Grants = std::map<std::uint64_t, Grant>;

    Grants::iterator find(std::uint64_t grantId, std::uint32_t responses);
    void consume(Grants::iterator grant, std::uint32_t responses);

    ShiftBudget &m_budget;
    std::uint64_t m_lastGrant = 0;
    Grants m_grants;
    std::map<RegionPair, std::map<base::TimePoint, Units>> m_releases; ///< units by release time
};

} // namespace trefoilstile::shift
