// Counting of forwarded requests and placing of lookup grants.

#include "trefoilstile/engine/shift_limiter.hpp"

#include <algorithm>
#include <cmath>

namespace trefoilstile::engine
{

namespace
{

/// A link with a smaller quota could not pass one read buffer of a body within the window.
constexpr shift::Units s_minimumLinkBytes = 16U << 10U;

/// One grant takes at most the available quota divided by this, so that some is left for forwarding and later lookups.
constexpr std::uint32_t s_grantDivisor = 2;

} // namespace

ShiftLimiter::TargetState::TargetState(std::uint32_t senders, base::Duration warmUp)
    : rate(senders)
    , ramp(warmUp)
{
}

ShiftLimiter::ShiftLimiter(base::IncarnationId self, std::string region, base::TimePoint startedAt, const shift::ShiftOptions &options)
    : m_region(std::move(region))
    , m_budget(self, startedAt, options)
    , m_ledger(m_budget)
{
}

void ShiftLimiter::adopt(base::Generation generation, const document::SteeringDocument &document)
{
    m_budget.adopt(generation, document);
    m_targets.clear();
    m_links.clear();
    m_grants.clear();
    base::Duration warmUp{};
    for (const document::Service &service : document.services) {
        warmUp = std::max(warmUp, service.warmUp);
    }
    for (const document::ShiftCap &cap : document.shiftCaps) {
        if (cap.requestsPerSecond <= 0) {
            continue;
        }
        m_links.push_back({cap.from, cap.to});
        if (cap.from == m_region) {
            m_targets.push_back(cap.to);
            m_targetStates.try_emplace(cap.to, document.maximumEntryInstances, warmUp);
        }
    }
    m_unitsPerResponse = static_cast<shift::Units>(std::ceil(document.lookup.requestsPerResponse * static_cast<double>(shift::s_unitsPerRequest)));
    m_maximumTtl = shift::scaled(document.lookup.ttl, 1 + document.lookup.jitter);
}

void ShiftLimiter::onAdvert(std::string_view region, const shift::CapacityAdvert &advert, base::TimePoint now)
{
    const auto target = m_targetStates.find(region);
    if (target != m_targetStates.end()) {
        target->second.rate.onAdvert(advert, now);
    }
}

std::span<const std::string> ShiftLimiter::targets() const
{
    return m_targets;
}

shift::RegionPair ShiftLimiter::linkTo(std::string_view to) const
{
    return {m_region, std::string(to)};
}

double ShiftLimiter::rateTokens(TargetState &target, base::PriorityClass priorityClass, base::TimePoint now)
{
    const double rate = target.rate.rate(now);
    const double elapsed = base::toSeconds(std::max(now - target.refilledAt, base::Duration::zero()));
    target.tokens = std::min(target.tokens + rate * elapsed, rate + 1);
    target.refilledAt = now;
    // During the warm-up, less urgent classes have to leave a part of the tokens to urgent requests.
    return target.tokens - (1 - target.ramp.factor(priorityClass, now)) * rate;
}

std::uint32_t ShiftLimiter::available(std::string_view to, base::PriorityClass priorityClass, base::TimePoint now)
{
    const auto target = m_targetStates.find(to);
    if (target == m_targetStates.end()) {
        return 0;
    }
    const shift::RegionPair link = linkTo(to);
    if (m_budget.ownQuota(link, shift::Resource::Bytes, now) < s_minimumLinkBytes) {
        return 0;
    }
    const shift::Units units = m_budget.available(link, shift::Resource::Requests, priorityClass, now);
    const double tokens = std::max(0.0, rateTokens(target->second, priorityClass, now));
    return std::min(static_cast<std::uint32_t>(units / shift::s_unitsPerRequest), static_cast<std::uint32_t>(tokens));
}

bool ShiftLimiter::tryTake(std::string_view to, base::PriorityClass priorityClass, base::TimePoint now)
{
    if (available(to, priorityClass, now) == 0 || !m_budget.tryTakeRequest(linkTo(to), priorityClass, now)) {
        return false;
    }
    TargetState &target = m_targetStates.find(to)->second;
    target.tokens -= 1;
    target.rate.onSent(1, now);
    target.ramp.onSent(now);
    return true;
}

std::uint32_t ShiftLimiter::wantedResponses(const shift::RegionPair &link, base::TimePoint now)
{
    const shift::Units units = m_budget.available(link, shift::Resource::Requests, base::PriorityClass::Bulk, now);
    const auto responses = static_cast<std::uint32_t>(units / std::max<shift::Units>(m_unitsPerResponse, 1));
    return responses <= 1 ? responses : responses / s_grantDivisor;
}

bool ShiftLimiter::placeGrants(const std::set<std::string> &withoutEntries, base::TimePoint now)
{
    m_ledger.releaseExpired(now);
    const std::size_t before = m_grants.size();
    std::erase_if(m_grants, [&](const PlacedGrant &grant) {
        return withoutEntries.count(grant.from) == 0 || m_outstanding.count(grant.id) == 0;
    });
    bool changed = m_grants.size() != before;
    for (const shift::RegionPair &link : m_links) {
        const bool placed = std::any_of(m_grants.begin(), m_grants.end(), [&link](const PlacedGrant &grant) {
            return grant.from == link.from && grant.to == link.to;
        });
        if (placed || withoutEntries.count(link.from) == 0 || withoutEntries.count(link.to) != 0) {
            continue;
        }
        const shift::LookupGrant grant = m_ledger.grant(link, wantedResponses(link, now), m_unitsPerResponse, m_maximumTtl, now);
        if (grant.id != 0 && grant.responses > 0) {
            m_outstanding[grant.id] = {grant.responses, m_maximumTtl};
            m_grants.push_back({link.from, link.to, grant.id, grant.responses});
            changed = true;
        }
    }
    return changed;
}

const std::vector<PlacedGrant> &ShiftLimiter::grants() const
{
    return m_grants;
}

void ShiftLimiter::grantSpent(std::uint64_t id, std::uint32_t responses, base::TimePoint now)
{
    m_ledger.commit(id, responses, m_outstanding.at(id).maximumTtl, now);
    reduceOutstanding(id, responses);
}

void ShiftLimiter::grantReturned(std::uint64_t id, std::uint32_t responses)
{
    m_ledger.cancel(id, responses);
    reduceOutstanding(id, responses);
}

void ShiftLimiter::reduceOutstanding(std::uint64_t id, std::uint32_t responses)
{
    Outstanding &outstanding = m_outstanding.at(id);
    outstanding.responses -= responses;
    if (outstanding.responses == 0) {
        m_outstanding.erase(id);
    }
}

} // namespace trefoilstile::engine
