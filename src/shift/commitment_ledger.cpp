// Grants, commitments and their endings.

#include "trefoilstile/shift/commitment_ledger.hpp"

#include <algorithm>

#include "trefoilstile/shift/error.hpp"

namespace trefoilstile::shift
{

namespace
{
constexpr base::Duration s_endingStep = std::chrono::milliseconds(250);
constexpr std::ptrdiff_t s_maximumGrants = 8;

base::TimePoint roundedUp(base::TimePoint time)
{
    const auto steps = (time.time_since_epoch() + s_endingStep - base::Duration(1)) / s_endingStep;
    return base::TimePoint(steps * s_endingStep);
}
} // namespace

CommitmentLedger::CommitmentLedger(ShiftBudget &budget)
    : m_budget(budget)
{
}

LookupGrant CommitmentLedger::grant(const RegionPair &link, std::uint32_t wanted, Units unitsEach, base::Duration maximumTtl, base::TimePoint now)
{
    releaseExpired(now);
    const auto open = std::count_if(m_grants.begin(), m_grants.end(), [&](const auto &item) {
        return item.second.link == link;
    });
    if (maximumTtl > m_budget.options().maximumCommitment() || unitsEach == 0 || open >= s_maximumGrants) {
        return {};
    }
    // Commitments leave the reserves free as bulk does: a wave of lookups must not take the place of urgent requests.
    const Units held = m_budget.hold(link, Resource::Requests, base::PriorityClass::Bulk, wanted * unitsEach, unitsEach, now);
    const auto responses = static_cast<std::uint32_t>(held / unitsEach);
    if (responses == 0) {
        return {};
    }
    m_grants.emplace(++m_lastGrant, Grant{link, unitsEach, responses, maximumTtl});
    return {m_lastGrant, responses};
}

void CommitmentLedger::commit(std::uint64_t grantId, std::uint32_t responses, base::Duration ttl, base::TimePoint now)
{
    const auto found = find(grantId, responses);
    if (ttl > found->second.maximumTtl) {
        throw Error("lookup response with a longer TTL than its grant");
    }
    const ShiftOptions &options = m_budget.options();
    const base::TimePoint end = roundedUp(now + scaled(ttl, 1 + options.clockDrift) + options.localWindow());
    m_endings[found->second.link][end] += responses * found->second.unitsEach;
    reduce(found, responses);
}

void CommitmentLedger::cancel(std::uint64_t grantId, std::uint32_t responses)
{
    const auto found = find(grantId, responses);
    m_budget.release(found->second.link, Resource::Requests, responses * found->second.unitsEach);
    reduce(found, responses);
}

void CommitmentLedger::releaseExpired(base::TimePoint now)
{
    for (auto &[link, endings] : m_endings) {
        while (!endings.empty() && endings.begin()->first <= now) {
            m_budget.release(link, Resource::Requests, endings.begin()->second);
            endings.erase(endings.begin());
        }
    }
}

Units CommitmentLedger::committed(const RegionPair &link) const
{
    Units sum = 0;
    if (const auto found = m_endings.find(link); found != m_endings.end()) {
        for (const auto &[end, units] : found->second) {
            sum += units;
        }
    }
    return sum;
}

CommitmentLedger::Grants::iterator CommitmentLedger::find(std::uint64_t grantId, std::uint32_t responses)
{
    const auto found = m_grants.find(grantId);
    if (found == m_grants.end() || responses > found->second.left) {
        throw Error("lookup grant is unknown or has fewer responses left");
    }
    return found;
}

void CommitmentLedger::reduce(Grants::iterator grant, std::uint32_t responses)
{
    grant->second.left -= responses;
    if (grant->second.left == 0) {
        m_grants.erase(grant);
    }
}

} // namespace trefoilstile::shift
