// Grants, commitments and their releases.

#include "trefoilstile/shift/commitment_ledger.hpp"

#include <algorithm>

#include "trefoilstile/shift/error.hpp"

namespace trefoilstile::shift
{

namespace
{
constexpr base::Duration s_releaseStep = std::chrono::milliseconds(250);
constexpr std::ptrdiff_t s_maximumGrantsPerPair = 8;

base::TimePoint roundedUp(base::TimePoint time)
{
    const auto steps = (time.time_since_epoch() + s_releaseStep - base::Duration(1)) / s_releaseStep;
    return base::TimePoint(steps * s_releaseStep);
}
} // namespace

CommitmentLedger::CommitmentLedger(ShiftBudget &budget)
    : m_budget(budget)
{
}

LookupGrant CommitmentLedger::grant(const RegionPair &link, std::uint32_t wanted, Units unitsPerResponse, base::Duration maximumTtl, base::TimePoint now)
{
    releaseExpired(now);
    const auto open = std::count_if(m_grants.begin(), m_grants.end(), [&](const auto &item) {
        return item.second.link == link;
    });
    if (maximumTtl > m_budget.options().maximumCommitment() || unitsPerResponse == 0 || open >= s_maximumGrantsPerPair) {
        return {};
    }
    // Commitments leave the reserves free, as bulk work does: a burst of lookups must not use the quota of urgent requests.
    const Units held = m_budget.hold(link, Resource::Requests, base::PriorityClass::Bulk, wanted * unitsPerResponse, unitsPerResponse, now);
    const auto responses = static_cast<std::uint32_t>(held / unitsPerResponse);
    if (responses == 0) {
        return {};
    }
    m_grants.emplace(++m_lastGrant, Grant{link, unitsPerResponse, responses, maximumTtl});
    return {m_lastGrant, responses};
}

void CommitmentLedger::commit(std::uint64_t grantId, std::uint32_t responses, base::Duration ttl, base::TimePoint now)
{
    const auto found = find(grantId, responses);
    if (ttl > found->second.maximumTtl) {
        throw Error("TTL of the lookup response exceeds the maximum TTL of its grant");
    }
    const ShiftOptions &options = m_budget.options();
    const base::TimePoint releaseAt = roundedUp(now + scaled(ttl, 1 + options.clockDrift) + options.localWindow());
    m_releases[found->second.link][releaseAt] += responses * found->second.unitsPerResponse;
    consume(found, responses);
}

void CommitmentLedger::cancel(std::uint64_t grantId, std::uint32_t responses)
{
    const auto found = find(grantId, responses);
    m_budget.release(found->second.link, Resource::Requests, responses * found->second.unitsPerResponse);
    consume(found, responses);
}

void CommitmentLedger::releaseExpired(base::TimePoint now)
{
    for (auto &[link, releases] : m_releases) {
        while (!releases.empty() && releases.begin()->first <= now) {
            m_budget.release(link, Resource::Requests, releases.begin()->second);
            releases.erase(releases.begin());
        }
    }
}

Units CommitmentLedger::committed(const RegionPair &link) const
{
    Units sum = 0;
    if (const auto found = m_releases.find(link); found != m_releases.end()) {
        for (const auto &[releaseAt, units] : found->second) {
            sum += units;
        }
    }
    return sum;
}

CommitmentLedger::Grants::iterator CommitmentLedger::find(std::uint64_t grantId, std::uint32_t responses)
{
    const auto found = m_grants.find(grantId);
    if (found == m_grants.end() || responses > found->second.remaining) {
        throw Error("lookup grant is unknown or has fewer responses remaining than reported");
    }
    return found;
}

void CommitmentLedger::consume(Grants::iterator grant, std::uint32_t responses)
{
    grant->second.remaining -= responses;
    if (grant->second.remaining == 0) {
        m_grants.erase(grant);
    }
}

} // namespace trefoilstile::shift
